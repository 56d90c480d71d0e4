package strictjson

import "fmt"

// Root is the path of a fault that concerns the complete input.
const Root = "$"

// maxFaults limits the faults reported for one input, which bounds the memory that a
// malicious input can use. One more fault then reports how many were omitted.
const maxFaults = 500

// Fault is one validation error of an input.
type Fault struct {
	// Path locates the value, such as "classes[1].deadline". Root stands for the
	// complete input.
	Path string `json:"path"`
	// Problem describes the error and what is expected.
	Problem string `json:"problem"`
}

// String returns "path: problem".
func (f Fault) String() string {
	return f.Path + ": " + f.Problem
}

// Faultf returns a fault of the value at path.
func Faultf(path, format string, args ...any) Fault {
	return Fault{Path: path, Problem: fmt.Sprintf(format, args...)}
}

// Member returns the path of the field called name within the object at path.
func Member(path, name string) string {
	if path == "" || path == Root {
		return name
	}
	return path + "." + name
}

// Item returns the path of the element at index i within the array at path.
func Item(path string, i int) string {
	return fmt.Sprintf("%s[%d]", path, i)
}

// faultList collects up to maxFaults faults and counts the rest.
type faultList struct {
	faults  []Fault
	omitted int
}

func (l *faultList) add(path, format string, args ...any) {
	if len(l.faults) >= maxFaults {
		l.omitted++
		return
	}
	l.faults = append(l.faults, Faultf(path, format, args...))
}

func (l *faultList) all() []Fault {
	if l.omitted == 0 {
		return l.faults
	}
	return append(l.faults, Faultf(Root, "%d more faults", l.omitted))
}
