// Package checker reads documents and settings files strictly, and finds the line
// and column of every fault.
package checker

import (
	"bytes"
	"fmt"
	"regexp"
	"strings"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/parser"
	"github.com/pkg/errors"

	"github.com/foxtailwharf/foxtailwharf"
)

// target is a document or settings file.
type target interface {
	Defaults()
	Validate() error
}

// Service reads a service document.
func Service(text []byte) (s foxtailwharf.Service, err error) {
	return s, read(text, &s)
}

// Agreement reads an agreement.
func Agreement(text []byte) (a foxtailwharf.Agreement, err error) {
	return a, read(text, &a)
}

// EntrySettings reads the settings of an entry.
func EntrySettings(text []byte) (s foxtailwharf.EntrySettings, err error) {
	return s, read(text, &s)
}

// AgentSettings reads the settings of an agent.
func AgentSettings(text []byte) (s foxtailwharf.AgentSettings, err error) {
	return s, read(text, &s)
}

// FleetSettings reads the settings of a process of a fleet that the platform lists.
func FleetSettings(text []byte) (s foxtailwharf.FleetSettings, err error) {
	return s, read(text, &s)
}

// Document reads a document of any kind and returns its name.
func Document(text []byte) (id foxtailwharf.DocumentID, err error) {
	var head struct {
		Kind string `yaml:"Kind"`
		Name string `yaml:"Name"`
	}
	if err = yaml.Unmarshal(text, &head); err != nil {
		return id, faultsOf(text, err)
	}
	id = foxtailwharf.DocumentID{Kind: head.Kind, Name: head.Name}
	switch head.Kind {
	case foxtailwharf.KindService:
		_, err = Service(text)
	case foxtailwharf.KindAgreement:
		if id.Name == "" {
			id.Name = foxtailwharf.AgreementName
		}
		_, err = Agreement(text)
	default:
		err = locate(text, foxtailwharf.Faults{{Path: "$.Kind", Message: fmt.Sprintf("unknown kind %q: must be Service or Agreement", head.Kind)}})
	}
	return id, err
}

// read decodes, fills in defaults and validates. Its error is always Faults.
func read(text []byte, into target) error {
	if err := yaml.NewDecoder(bytes.NewReader(text), yaml.Strict()).Decode(into); err != nil {
		return faultsOf(text, err)
	}
	into.Defaults()
	if err := into.Validate(); err != nil {
		return faultsOf(text, err)
	}
	return nil
}

var (
	positionPattern = regexp.MustCompile(`^\[(\d+):(\d+)\] (.*)`)
	quotedPattern   = regexp.MustCompile(`"([^"]+)"`)
)

// faultsOf turns any error of reading into faults with positions.
func faultsOf(text []byte, err error) error {
	var faults foxtailwharf.Faults
	if errors.As(err, &faults) {
		return locate(text, faults)
	}
	message, _, _ := strings.Cut(err.Error(), "\n")
	fault := foxtailwharf.Fault{Path: "$", Message: message, Line: 1, Column: 1}
	if match := positionPattern.FindStringSubmatch(message); match != nil {
		// The pattern admits digits only.
		_, _ = fmt.Sscan(match[1], &fault.Line)
		_, _ = fmt.Sscan(match[2], &fault.Column)
		fault.Message = match[3]
		return foxtailwharf.Faults{fault}
	}
	if match := quotedPattern.FindStringSubmatch(message); match != nil {
		locateScalar(text, match[1], &fault)
	}
	return foxtailwharf.Faults{fault}
}

// locate adds to each fault the position of its field, or of the nearest part of
// its path that is there.
func locate(text []byte, faults foxtailwharf.Faults) error {
	file, err := parser.ParseBytes(text, 0)
	if err != nil {
		return faults
	}
	for i := range faults {
		faults[i].Line, faults[i].Column = 1, 1
		for path := faults[i].Path; path != "$" && path != ""; path = parentOf(path) {
			if node := find(file, path); node != nil {
				position := node.GetToken().Position
				faults[i].Line, faults[i].Column = position.Line, position.Column
				break
			}
		}
	}
	return faults
}

func parentOf(path string) string {
	return path[:max(strings.LastIndexAny(path, ".["), 0)]
}

func find(file *ast.File, path string) ast.Node {
	p, err := yaml.PathString(path)
	if err != nil {
		return nil
	}
	node, err := p.FilterFile(file)
	if err != nil {
		return nil
	}
	return node
}

// locateScalar finds the position of the scalar that a decoder without positions
// complained of.
func locateScalar(text []byte, value string, fault *foxtailwharf.Fault) {
	file, err := parser.ParseBytes(text, 0)
	if err != nil {
		return
	}
	finder := &scalarFinder{value: value}
	for _, doc := range file.Docs {
		ast.Walk(finder, doc.Body)
	}
	if finder.found != nil {
		position := finder.found.GetToken().Position
		fault.Path = finder.found.GetPath()
		fault.Line, fault.Column = position.Line, position.Column
	}
}

// scalarFinder walks a file to the first scalar that is a value or starts with it.
type scalarFinder struct {
	value string
	found ast.Node
}

// Visit looks at one node.
func (f *scalarFinder) Visit(node ast.Node) ast.Visitor {
	scalar, isScalar := node.(ast.ScalarNode)
	if !isScalar || f.found != nil {
		return f
	}
	if strings.HasPrefix(fmt.Sprint(scalar.GetValue()), f.value) {
		f.found = node
	}
	return f
}
