// Command literals checks the house style of struct literals: field names always, one field a line. The usual linters
// have no check for the second part.
//
// # Usage
//
//	literals FILE.go ...
//
// It prints one line for each literal that differs and exits with status 1 if there is one. It works on syntax alone, so
// it recognizes a struct literal by its field names, or by a struct type written at the literal or at the slice or map
// around it. Generated files are passed over.
package main

import (
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"os"
)

func main() {
	found := false
	for _, name := range os.Args[1:] {
		fset := token.NewFileSet()
		file, err := parser.ParseFile(fset, name, nil, parser.ParseComments)
		if err != nil {
			fmt.Fprintln(os.Stderr, "literals:", err)
			os.Exit(1)
		}
		if ast.IsGenerated(file) {
			continue
		}
		for _, fault := range check(fset, file) {
			fmt.Println(fault)
			found = true
		}
	}
	if found {
		os.Exit(1)
	}
}

// check returns one line for each literal that differs from the house style.
func check(fset *token.FileSet, file *ast.File) []string {
	var faults []string
	report := func(lit *ast.CompositeLit, text string) {
		faults = append(faults, fmt.Sprintf("%s: %s", fset.Position(lit.Pos()), text))
	}
	elements := map[*ast.CompositeLit]bool{}
	ast.Inspect(file, func(n ast.Node) bool {
		lit, ok := n.(*ast.CompositeLit)
		if !ok {
			return true
		}
		if holdsStructs(lit.Type) {
			for _, e := range lit.Elts {
				if kv, ok := e.(*ast.KeyValueExpr); ok {
					e = kv.Value
				}
				if inner, ok := e.(*ast.CompositeLit); ok && inner.Type == nil {
					elements[inner] = true
				}
			}
		}
		_, isStruct := lit.Type.(*ast.StructType)
		switch {
		case (isStruct || elements[lit]) && len(lit.Elts) > 0 && !keyed(lit):
			report(lit, "struct literal without field names")
		case keyed(lit) && !onePerLine(fset, lit):
			report(lit, "struct literal with several fields on a line")
		}
		return true
	})
	return faults
}

// holdsStructs tells whether a type is a slice, array or map of a struct type that is written out.
func holdsStructs(t ast.Expr) bool {
	switch t := t.(type) {
	case *ast.ArrayType:
		_, ok := t.Elt.(*ast.StructType)
		return ok
	case *ast.MapType:
		_, ok := t.Value.(*ast.StructType)
		return ok
	}
	return false
}

// keyed tells whether a literal has field names. The keys of maps are rarely identifiers, and a literal with a map type
// is no struct.
func keyed(lit *ast.CompositeLit) bool {
	switch lit.Type.(type) {
	case *ast.MapType, *ast.ArrayType:
		return false
	}
	for _, e := range lit.Elts {
		kv, ok := e.(*ast.KeyValueExpr)
		if !ok {
			return false
		}
		if _, ok := kv.Key.(*ast.Ident); !ok {
			return false
		}
	}
	return len(lit.Elts) > 0
}

func onePerLine(fset *token.FileSet, lit *ast.CompositeLit) bool {
	last := fset.Position(lit.Lbrace).Line
	for _, e := range lit.Elts {
		line := fset.Position(e.Pos()).Line
		if line == last {
			return false
		}
		last = fset.Position(e.End()).Line
	}
	return fset.Position(lit.Rbrace).Line > last
}
