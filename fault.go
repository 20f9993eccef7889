package foxtailwharf

import (
	"fmt"
	"strings"
)

// Fault is a validation error in a document or a settings file.
type Fault struct {
	// Path is the YAML path of the field, such as "$.Routes[0].Rank".
	Path    string
	Message string
	Line    int // 0 if unknown
	Column  int // 0 if unknown
}

// Faults holds all validation errors of a document or a settings file.
type Faults []Fault

// Error returns the faults, one per line.
func (f Faults) Error() string {
	lines := make([]string, 0, len(f))
	for _, fault := range f {
		lines = append(lines, fmt.Sprintf("%d:%d: %s: %s", fault.Line, fault.Column, fault.Path, fault.Message))
	}
	return strings.Join(lines, "\n")
}

func (f *Faults) add(path, format string, args ...any) {
	*f = append(*f, Fault{Path: path, Message: fmt.Sprintf(format, args...)})
}

// ErrorOrNil returns the faults as an error, or nil if there are none.
func (f Faults) ErrorOrNil() error {
	if len(f) == 0 {
		return nil
	}
	return f
}
