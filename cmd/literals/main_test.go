package main

import (
	"go/parser"
	"go/token"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against a check that passes over the literals it is for, or that reports maps and slices.
func TestCheck(t *testing.T) {
	tests := []struct {
		name string
		code string
		want int
	}{
		{
			name: "one a line",
			code: "var x = T{\n\tA: 1,\n\tB: 2,\n}",
		},
		{
			name: "two on a line",
			code: "var x = T{\n\tA: 1, B: 2,\n}",
			want: 1,
		},
		{
			name: "all on the line of the brace",
			code: "var x = T{A: 1}",
			want: 1,
		},
		{
			name: "without names in a table",
			code: "var x = []struct{ a, b int }{\n\t{1, 2},\n}",
			want: 1,
		},
		{
			name: "map and slice",
			code: "var x, y = map[string]int{\"a\": 1, \"b\": 2}, []int{1, 2}",
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			fset := token.NewFileSet()
			file, err := parser.ParseFile(fset, "x.go", "package x\n\n"+tt.code, 0)
			assert.NilError(t, err)
			assert.Equal(t, len(check(fset, file)), tt.want)
		})
	}
}
