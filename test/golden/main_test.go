package golden

import (
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/rogpeppe/go-internal/testscript"
	"github.com/stretchr/testify/require"

	"persimmonstage/io/verb"
)

const (
	casesDir     = "../cases"
	scriptFile   = "cmd"
	expectedFile = "expected"
)

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){
		"persimmonstage": func() { os.Exit(verb.Main(os.Args, os.Stdin, os.Stdout, os.Stderr)) },
	})
}

func TestCases(t *testing.T) {
	scripts, err := filepath.Glob(filepath.Join(casesDir, "*", scriptFile))
	require.NoError(t, err)
	require.NotEmpty(t, scripts)
	for _, script := range scripts {
		dir := filepath.Dir(script)
		t.Run(filepath.Base(dir), func(t *testing.T) {
			t.Parallel()
			s := &session{}
			// The script runs in a parallel subtest, which ends before the cleanup.
			t.Cleanup(func() { s.compare(t, filepath.Join(dir, expectedFile)) })
			testscript.Run(t, testscript.Params{
				Files:    []string{script},
				Cmds:     commands(),
				Deadline: time.Now().Add(hangTimeout),
				Setup: func(env *testscript.Env) error {
					env.Values[sessionKey{}] = s
					return copyInputs(dir, env.WorkDir)
				},
			})
		})
	}
}

// copyInputs copies every file of a case except its script and its expected transcript.
func copyInputs(dir, workDir string) error {
	files, err := os.ReadDir(dir)
	if err != nil {
		return err
	}
	for _, f := range files {
		if f.Name() == scriptFile || f.Name() == expectedFile {
			continue
		}
		data, err := os.ReadFile(filepath.Join(dir, f.Name()))
		if err != nil {
			return err
		}
		if err := os.WriteFile(filepath.Join(workDir, f.Name()), data, 0o600); err != nil {
			return err
		}
	}
	return nil
}
