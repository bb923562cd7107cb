package oleanderwall_test

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"path/filepath"
	"strings"
	"testing"
)

// TestGoroutinesStartThroughGroup guards against goroutines that no Close
// waits for: only pkg/group may use the go statement.
func TestGoroutinesStartThroughGroup(t *testing.T) {
	forEachFile(t, func(path string, fset *token.FileSet, file *ast.File) {
		if strings.HasPrefix(path, filepath.Join("pkg", "group")) {
			return
		}
		ast.Inspect(file, func(node ast.Node) bool {
			if st, ok := node.(*ast.GoStmt); ok {
				t.Errorf("%s: a bare go statement; use group.Go", fset.Position(st.Pos()))
			}
			return true
		})
	})
}

// TestProductDoesNotImportStandins guards against stand-ins in the product.
func TestProductDoesNotImportStandins(t *testing.T) {
	allowed := []string{"internal/standin", "internal/faultproxy", "internal/demo", "internal/bench", "internal/local", "cmd/oleanderwall-standin"}
	forEachFile(t, func(path string, fset *token.FileSet, file *ast.File) {
		slashed := filepath.ToSlash(path)
		for _, dir := range allowed {
			if strings.HasPrefix(slashed, dir) {
				return
			}
		}
		if strings.HasSuffix(path, "_test.go") {
			return
		}
		for _, im := range file.Imports {
			for _, name := range []string{"internal/standin", "internal/faultproxy", "internal/local", "internal/crowd"} {
				if strings.Contains(im.Path.Value, name) {
					t.Errorf("%s: the product imports %s", fset.Position(im.Pos()), im.Path.Value)
				}
			}
		}
	})
}

func forEachFile(t *testing.T, fn func(path string, fset *token.FileSet, file *ast.File)) {
	t.Helper()
	fset := token.NewFileSet()
	err := filepath.WalkDir(".", func(path string, en fs.DirEntry, err error) error {
		if err != nil || en.IsDir() || !strings.HasSuffix(path, ".go") {
			return err
		}
		file, err := parser.ParseFile(fset, path, nil, 0)
		if err != nil {
			return err
		}
		fn(path, fset, file)
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
}
