package strictjson

import "fmt"

// Root is the path of a fault that concerns the whole text.
const Root = "$"

// maxFaults bounds the report of one text, so that a hostile one costs bounded
// memory; the last fault says how many were left out.
const maxFaults = 500

// Fault is one thing that is wrong with a text.
type Fault struct {
	// Path names the value, such as "classes[1].deadline"; Root names the
	// whole text.
	Path string `json:"path"`
	// Problem says what is wrong and what is wanted.
	Problem string `json:"problem"`
}

// String gives "path: problem".
func (f Fault) String() string {
	return f.Path + ": " + f.Problem
}

// Faultf builds the fault of the value at path.
func Faultf(path, format string, args ...any) Fault {
	return Fault{Path: path, Problem: fmt.Sprintf(format, args...)}
}

// Member gives the path of the field called name within the object at path.
func Member(path, name string) string {
	if path == "" || path == Root {
		return name
	}
	return path + "." + name
}

// Item gives the path of the element at index i within the array at path.
func Item(path string, i int) string {
	return fmt.Sprintf("%s[%d]", path, i)
}

// report collects faults up to maxFaults and counts the rest.
type report struct {
	faults  []Fault
	omitted int
}

func (r *report) add(path, format string, args ...any) {
	if len(r.faults) >= maxFaults {
		r.omitted++
		return
	}
	r.faults = append(r.faults, Faultf(path, format, args...))
}

func (r *report) all() []Fault {
	if r.omitted == 0 {
		return r.faults
	}
	return append(r.faults, Faultf(Root, "%d more faults", r.omitted))
}
