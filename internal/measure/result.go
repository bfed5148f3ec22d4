package measure

import (
	"encoding/json"
	"os"
	"path/filepath"

	"github.com/pkg/errors"
)

// SaveResult writes a result to the file of its series in a directory.
func SaveResult(dir string, r Result) error {
	data, err := json.Marshal(r)
	if err != nil {
		return errors.Wrap(err, "encode a result")
	}
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return errors.Wrap(err, "create the result directory")
	}
	return errors.Wrap(os.WriteFile(resultFile(dir, r.Series), append(data, '\n'), 0o644), "write a result")
}

// LoadResult reads the saved result of a series.
func LoadResult(dir, series string) (Result, error) {
	var r Result
	data, err := os.ReadFile(resultFile(dir, series))
	if err != nil {
		return r, errors.Wrap(err, "read a result")
	}
	return r, errors.Wrapf(json.Unmarshal(data, &r), "decode the result of %s", series)
}

func resultFile(dir, series string) string { return filepath.Join(dir, series+".json") }
