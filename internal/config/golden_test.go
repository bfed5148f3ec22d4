package config

import (
	"flag"
	"os"
	"path/filepath"
	"testing"

	"github.com/google/go-cmp/cmp"
)

var update = flag.Bool("update", false, "rewrite the golden files")

const examplesDir = "../../examples"

// Guards against a change of the generator that unintentionally changes the
// configurations of the two example deployments.
func TestGenerateExamples(t *testing.T) {
	for _, name := range []string{"cooperative", "dyniowe-pole"} {
		t.Run(name, func(t *testing.T) {
			data, err := os.ReadFile(filepath.Join(examplesDir, name, "answers.json"))
			if err != nil {
				t.Fatal(err)
			}
			answers, err := ParseAnswers(data)
			if err != nil {
				t.Fatal(err)
			}
			c := Generate(answers)
			if err := CheckConfiguration(c); err != nil {
				t.Errorf("generated configuration: %v", err)
			}
			got, err := Encode(c)
			if err != nil {
				t.Fatal(err)
			}
			golden := filepath.Join(examplesDir, name, "configuration.json")
			if *update {
				if err := os.WriteFile(golden, got, 0o644); err != nil {
					t.Fatal(err)
				}
			}
			want, err := os.ReadFile(golden)
			if err != nil {
				t.Fatal(err)
			}
			if diff := cmp.Diff(string(want), string(got)); diff != "" {
				t.Errorf("configuration differs from %s (-want +got):\n%s", golden, diff)
			}
		})
	}
}
