package catalogue

import (
	"go/ast"
	"go/parser"
	"go/token"
	"os"
	"path/filepath"
	"strings"
)

// comments holds the doc comments of struct types under "Type", those of their fields
// under "Type.Field", and the comments of typed constants under "Type:value", each as
// one line.
type comments map[string]string

func readComments(dirs ...string) (comments, error) {
	c := comments{}
	for _, dir := range dirs {
		entries, err := os.ReadDir(dir)
		if err != nil {
			return nil, err
		}
		for _, e := range entries {
			if !strings.HasSuffix(e.Name(), ".go") || strings.HasSuffix(e.Name(), "_test.go") {
				continue
			}
			if err := c.readFile(filepath.Join(dir, e.Name())); err != nil {
				return nil, err
			}
		}
	}
	return c, nil
}

func (c comments) readFile(path string) error {
	file, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.ParseComments)
	if err != nil {
		return err
	}
	for _, decl := range file.Decls {
		gen, ok := decl.(*ast.GenDecl)
		if !ok {
			continue
		}
		for _, spec := range gen.Specs {
			switch spec := spec.(type) {
			case *ast.TypeSpec:
				c.readType(spec, gen.Doc)
			case *ast.ValueSpec:
				c.readConstant(spec)
			}
		}
	}
	return nil
}

func (c comments) readType(t *ast.TypeSpec, doc *ast.CommentGroup) {
	s, ok := t.Type.(*ast.StructType)
	if !ok {
		return
	}
	c[t.Name.Name] = oneLine(doc)
	for _, f := range s.Fields.List {
		for _, name := range f.Names {
			c[t.Name.Name+"."+name.Name] = oneLine(f.Doc)
		}
	}
}

func (c comments) readConstant(v *ast.ValueSpec) {
	typeName, ok := v.Type.(*ast.Ident)
	if !ok || len(v.Values) != 1 {
		return
	}
	literal, ok := v.Values[0].(*ast.BasicLit)
	if !ok {
		return
	}
	c[typeName.Name+":"+strings.Trim(literal.Value, `"`)] = oneLine(v.Comment)
}

func oneLine(g *ast.CommentGroup) string {
	return strings.Join(strings.Fields(g.Text()), " ")
}
