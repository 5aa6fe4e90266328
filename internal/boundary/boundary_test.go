package boundary

import (
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"testing"
)

// TestDecisionPackagesStayPure parses the source of every decision package and reports
// each import, call and statement that the boundary forbids.
func TestDecisionPackagesStayPure(t *testing.T) {
	checked := 0
	for _, dir := range DecisionPackages {
		files, err := filepath.Glob(filepath.Join("..", "..", dir, "*.go"))
		if err != nil {
			t.Fatal(err)
		}
		for _, file := range files {
			if strings.HasSuffix(file, "_test.go") {
				continue
			}
			source, err := os.ReadFile(file)
			if err != nil {
				t.Fatal(err)
			}
			checked++
			for _, violation := range violations(t, file, source) {
				t.Error(violation)
			}
		}
	}
	if checked == 0 {
		t.Fatal("no decision package has any source file")
	}
}

// TestBoundaryCatchesViolations checks that each kind of violation is reported.
func TestBoundaryCatchesViolations(t *testing.T) {
	for name, source := range map[string]string{
		"import":    `package p; import "net/http"; var _ = http.StatusOK`,
		"clock":     `package p; import "time"; var _ = time.Now()`,
		"random":    `package p; import "math/rand/v2"; var _ = rand.Uint64()`,
		"goroutine": `package p; func f() { go f() }`,
		"channel":   `package p; var c = make(chan int)`,
	} {
		if len(violations(t, name, []byte(source))) == 0 {
			t.Errorf("%s: not reported", name)
		}
	}
}

func violations(t *testing.T, file string, source []byte) []string {
	t.Helper()
	fileSet := token.NewFileSet()
	tree, err := parser.ParseFile(fileSet, file, source, 0)
	if err != nil {
		t.Fatal(err)
	}
	var list []string
	report := func(node ast.Node, description string) {
		list = append(list, fmt.Sprintf("%s: %s", fileSet.Position(node.Pos()), description))
	}
	for _, spec := range tree.Imports {
		path, _ := strconv.Unquote(spec.Path.Value)
		if forbiddenImport(path) {
			report(spec, "import of "+path)
		}
	}
	ast.Inspect(tree, func(node ast.Node) bool {
		switch n := node.(type) {
		case *ast.GoStmt:
			report(n, "go statement")
		case *ast.ChanType:
			report(n, "channel")
		case *ast.SelectorExpr:
			if pkg, ok := n.X.(*ast.Ident); ok && slices.Contains(ForbiddenCalls[pkg.Name], n.Sel.Name) && pkg.Obj == nil {
				report(n, "use of "+pkg.Name+"."+n.Sel.Name)
			}
		}
		return true
	})
	return list
}

func forbiddenImport(path string) bool {
	if slices.Contains(AllowedImports, path) {
		return false
	}
	return slices.ContainsFunc(ForbiddenImports, func(forbidden string) bool {
		return path == forbidden || strings.HasPrefix(path, forbidden+"/")
	})
}
