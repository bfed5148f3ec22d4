package measure

import (
	"context"
	"os"
	"os/exec"
	"path/filepath"

	"github.com/pkg/errors"
)

const programPackage = "github.com/endivehill/endivehill/cmd/endivehill"

// BuildProgram builds the endivehill program in a new temporary directory. The caller
// must call remove to delete the directory.
func BuildProgram(ctx context.Context) (program string, remove func(), err error) {
	dir, err := os.MkdirTemp("", "endivehill-measure-")
	if err != nil {
		return "", nil, errors.Wrap(err, "create a directory for the program")
	}
	program = filepath.Join(dir, "endivehill")
	if out, err := exec.CommandContext(ctx, "go", "build", "-o", program, programPackage).CombinedOutput(); err != nil {
		os.RemoveAll(dir)
		return "", nil, errors.Wrapf(err, "build the program: %s", out)
	}
	return program, func() { os.RemoveAll(dir) }, nil
}
