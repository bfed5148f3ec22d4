// Package docs checks the generated parts of the documentation.
package docs

import (
	"encoding/json"
	"flag"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"sort"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/endivehill/endivehill/internal/config"
	"github.com/endivehill/endivehill/internal/errkind"
	"github.com/endivehill/endivehill/internal/event"
	"github.com/endivehill/endivehill/internal/membership"
	"github.com/endivehill/endivehill/internal/registry"
	"github.com/endivehill/endivehill/internal/wire"
	"github.com/endivehill/endivehill/schema"
)

var update = flag.Bool("update", false, "rewrite the generated tables")

// Guards against documentation that differs from the code: error kinds, log
// events and settings with their defaults.
func TestGeneratedTables(t *testing.T) {
	for _, tc := range []struct{ file, section, want string }{
		{"errors.md", "table", errkind.Markdown()},
		{"events.md", "table", event.Markdown()},
		{"OPERATIONS.md", "settings", settingsTables(t)},
	} {
		t.Run(tc.file, func(t *testing.T) {
			data, err := os.ReadFile(tc.file)
			if err != nil {
				t.Fatal(err)
			}
			begin, end := "<!-- begin "+tc.section+" -->\n", "<!-- end "+tc.section+" -->"
			before, rest, ok := strings.Cut(string(data), begin)
			got, after, okEnd := strings.Cut(rest, end)
			if !ok || !okEnd {
				t.Fatalf("%s has no section %q", tc.file, tc.section)
			}
			if *update {
				text := before + begin + tc.want + end + after
				if err := os.WriteFile(tc.file, []byte(text), 0o644); err != nil {
					t.Fatal(err)
				}
				return
			}
			if diff := cmp.Diff(tc.want, got); diff != "" {
				t.Errorf("%s differs from the code; run go test ./docs -update (-want +got):\n%s", tc.file, diff)
			}
		})
	}
}

// schemaType is a type of the schema as far as the tables need it.
type schemaType struct {
	Properties map[string]struct {
		Type        string `json:"type"`
		Ref         string `json:"$ref"`
		Default     any    `json:"default"`
		Minimum     *int   `json:"minimum"`
		Maximum     *int   `json:"maximum"`
		Description string `json:"description"`
	} `json:"properties"`
	Required []string `json:"required"`
}

// settingsTables returns one table for each type of the settings file.
func settingsTables(t *testing.T) string {
	t.Helper()
	var root struct {
		Defs map[string]schemaType `json:"$defs"`
	}
	if err := json.Unmarshal(schema.JSON, &root); err != nil {
		t.Fatal(err)
	}
	var b strings.Builder
	for _, section := range []struct{ title, def string }{
		{"", "Settings"}, {"`limits`", "Limits"}, {"`tls`", "TLSSettings"}, {"Each entry of `tls`", "TLSFiles"},
	} {
		if section.title != "" {
			fmt.Fprintf(&b, "\n%s:\n\n", section.title)
		}
		writeTable(&b, root.Defs[section.def])
	}
	return b.String()
}

func writeTable(b *strings.Builder, d schemaType) {
	required := map[string]bool{}
	for _, name := range d.Required {
		required[name] = true
	}
	names := make([]string, 0, len(d.Properties))
	for name := range d.Properties {
		names = append(names, name)
	}
	sort.Slice(names, func(i, j int) bool {
		if required[names[i]] != required[names[j]] {
			return required[names[i]]
		}
		return names[i] < names[j]
	})
	b.WriteString("| field | unit | default | range | meaning |\n| --- | --- | --- | --- | --- |\n")
	for _, name := range names {
		p := d.Properties[name]
		value, bounds := "-", "-"
		switch {
		case required[name]:
			value = "required"
		case p.Default != nil && p.Default != "":
			value = fmt.Sprintf("%.0f", p.Default)
		}
		if p.Minimum != nil && p.Maximum != nil {
			bounds = fmt.Sprintf("%d to %d", *p.Minimum, *p.Maximum)
		}
		fmt.Fprintf(b, "| `%s` | %s | %s | %s | %s |\n", name, unit(name), value, bounds, p.Description)
	}
}

func unit(name string) string {
	switch {
	case strings.HasSuffix(name, "_ms"):
		return "ms"
	case strings.HasSuffix(name, "_bytes"):
		return "bytes"
	case strings.HasSuffix(name, "_requests"):
		return "requests"
	default:
		return "-"
	}
}

// Guards against a capacity page that quotes constants the code no longer has.
func TestCapacityQuotesConstantsOfTheCode(t *testing.T) {
	page, err := os.ReadFile("CAPACITY.md")
	if err != nil {
		t.Fatal(err)
	}
	for name, value := range map[string]any{
		"membership.HeartbeatInterval": membership.HeartbeatInterval,
		"membership.LeaseDuration":     membership.LeaseDuration,
		"membership.PingInterval":      membership.PingInterval,
		"registry.MaxViewAge":          registry.MaxViewAge,
		"wire.MaxFrameBytes":           wire.MaxFrameBytes,
		"config.ExecutorsPerPartition": config.ExecutorsPerPartition,
	} {
		if line := fmt.Sprintf("| `%s` | %v |", name, value); !strings.Contains(string(page), line) {
			t.Errorf("the page lacks %q", line)
		}
	}
}

// Guards against a table of hard cases that names tests which do not exist.
func TestHardCaseTableNamesExistingTests(t *testing.T) {
	page, err := os.ReadFile("design.md")
	if err != nil {
		t.Fatal(err)
	}
	defined := map[string]bool{}
	err = filepath.WalkDir("..", func(path string, _ fs.DirEntry, err error) error {
		if err != nil || !strings.HasSuffix(path, "_test.go") {
			return err
		}
		source, err := os.ReadFile(path)
		for _, m := range regexp.MustCompile(`(?m)^func ((Test|Benchmark)\w+)\(`).FindAllStringSubmatch(string(source), -1) {
			defined[m[1]] = true
		}
		return err
	})
	if err != nil {
		t.Fatal(err)
	}
	table := string(page)[strings.Index(string(page), "\n## 9."):]
	names := regexp.MustCompile("`((Test|Benchmark)\\w+)`").FindAllStringSubmatch(table, -1)
	if len(names) < 20 {
		t.Fatalf("the table names %d tests", len(names))
	}
	for _, name := range names {
		if !defined[name[1]] {
			t.Errorf("%s does not exist", name[1])
		}
	}
}
