package command

import (
	"bytes"
	"context"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/endivehill/endivehill/internal/api"
	"github.com/endivehill/endivehill/internal/config"
)

var update = flag.Bool("update", false, "rewrite the golden files")

const fakeID = "01980000-0000-7000-8000-000000000001"

// transcript records the commands of a test with their output and exit codes.
type transcript struct {
	t       *testing.T
	address string
	dir     string
	env     map[string]string
	log     bytes.Buffer
}

func newTranscript(t *testing.T, address string) *transcript {
	return &transcript{t: t, address: address, dir: t.TempDir(),
		env: map[string]string{keyEnv: operatorKey}}
}

// runCommand runs a command line without a terminal and returns its exit code.
func (tr *transcript) runCommand(line string) int { return tr.runWithInput("", false, line) }

// runAtTerminal runs a command line with a terminal on which input is typed.
func (tr *transcript) runAtTerminal(input, line string) int {
	return tr.runWithInput(input, true, line)
}

func (tr *transcript) runWithInput(input string, terminal bool, line string) int {
	tr.t.Helper()
	var out, errOut bytes.Buffer
	inv := &invocation{
		stdin: strings.NewReader(input), stdout: &out, stderr: &errOut, stdinIsTerminal: terminal,
		getenv: func(name string) string { return tr.env[name] },
		now:    func() time.Time { return time.UnixMilli(1_780_000_000_000) },
		newID:  func() (string, error) { return fakeID, nil },
	}
	args := strings.Fields(strings.NewReplacer("ADDR", tr.address, "DIR", tr.dir).Replace(line))
	code := inv.run(context.Background(), append([]string{"endivehill"}, args...))
	fmt.Fprintf(&tr.log, "$ endivehill %s\n", line)
	if terminal {
		fmt.Fprintf(&tr.log, "(typed: %q)\n", input)
	}
	tr.log.Write(out.Bytes())
	for _, l := range strings.SplitAfter(errOut.String(), "\n") {
		if l != "" {
			tr.log.WriteString("! " + strings.TrimSuffix(l, "\n") + "\n")
		}
	}
	fmt.Fprintf(&tr.log, "exit code %d\n\n", code)
	return code
}

// compareGolden compares the transcript with a golden file.
func (tr *transcript) compareGolden(name string) {
	tr.t.Helper()
	got := strings.NewReplacer(tr.address, "ADDR", tr.dir, "DIR").Replace(tr.log.String())
	file := filepath.Join("testdata", name+".golden")
	if *update {
		if err := os.WriteFile(file, []byte(got), 0o644); err != nil {
			tr.t.Fatal(err)
		}
	}
	want, err := os.ReadFile(file)
	if err != nil {
		tr.t.Fatal(err)
	}
	if diff := cmp.Diff(string(want), got); diff != "" {
		tr.t.Errorf("transcript differs from %s (-want +got):\n%s", file, diff)
	}
}

func (tr *transcript) writeFile(name string, data []byte) {
	tr.t.Helper()
	if err := os.WriteFile(filepath.Join(tr.dir, name), data, 0o600); err != nil {
		tr.t.Fatal(err)
	}
}

func (tr *transcript) writeConfiguration(name string, c api.Configuration) {
	tr.t.Helper()
	data, err := config.Encode(c)
	if err != nil {
		tr.t.Fatal(err)
	}
	tr.writeFile(name, data)
}

const smallAnswers = `{"format": 1, "cell": "small", "pools": [{"name": "desk", "region": "north", "cores": 16, "memory_gb": 64,
	"slots": 8, "connections": 64, "racks": [{"name": "rack-1", "failure_domain": "north-a", "vms": 2}]}],
	"teams": [{"name": "quotes", "share": 10, "limit": {"slots": 16},
	"runs": [{"name": "check", "pool": "desk", "class": "request", "urgency": "urgent", "idempotent": true}]}]}`

func smallConfiguration(t *testing.T) api.Configuration {
	t.Helper()
	a, err := config.ParseAnswers([]byte(smallAnswers))
	if err != nil {
		t.Fatal(err)
	}
	return config.Generate(a)
}

// Guards against changes of the output, prompts or exit codes of the config
// commands: scripts of operators and version control rely on them.
func TestConfigSession(t *testing.T) {
	before := smallConfiguration(t)
	after := smallConfiguration(t)
	after.Teams[0].Limit.Slots = 4
	tr := newTranscript(t, newFakeAPI(t, before))
	tr.writeFile("answers.json", []byte(smallAnswers))
	tr.writeFile("wrong.json", []byte(strings.NewReplacer(`"slots": 16`, `"slots": 17`, `"pool": "desk"`, `"pool": "attic"`).Replace(smallAnswers)))
	tr.writeFile("unknown.json", []byte(strings.Replace(smallAnswers, `"share"`, `"shares"`, 1)))
	tr.writeConfiguration("old.json", before)
	tr.writeConfiguration("new.json", after)
	for _, line := range []string{
		"config generate DIR/answers.json",
		"config generate DIR/wrong.json",
		"config check DIR/answers.json",
		"config check DIR/new.json",
		"config check DIR/unknown.json",
		"config check DIR/missing.json",
		"config diff DIR/old.json DIR/new.json",
		"config diff --output json DIR/old.json DIR/new.json",
		"config plan --address ADDR DIR/new.json",
		"config apply --address ADDR DIR/new.json",
	} {
		tr.runCommand(line)
	}
	tr.runAtTerminal("n\n", "config apply --address ADDR DIR/new.json")
	tr.runAtTerminal("y\n", "config apply --address ADDR DIR/new.json")
	for _, line := range []string{
		"config apply --address ADDR DIR/new.json",
		"config apply --address ADDR --yes --base 1 DIR/old.json",
		"config apply --address ADDR --yes --base 2 --output json DIR/old.json",
		"config show --address ADDR --version 9",
		"config show --address ADDR",
	} {
		tr.runCommand(line)
	}
	tr.compareGolden("config")
}

// Guards against an apply that overwrites the version of another operator, and
// against one that succeeds before every node has confirmed it.
func TestConfigApplyRaceAndUnconfirmed(t *testing.T) {
	before := smallConfiguration(t)
	after := smallConfiguration(t)
	after.Teams[0].Share = 11
	f := &fakeAPI{version: 1, document: before, race: true}
	tr := newTranscript(t, f.start(t))
	tr.writeConfiguration("new.json", after)
	if code := tr.runCommand("config apply --address ADDR --yes DIR/new.json"); code != 5 {
		t.Errorf("race: exit code %d, want 5", code)
	}
	f.race = false
	f.unconfirmed = []string{"node-2", "node-3"}
	if code := tr.runCommand("config apply --address ADDR --yes DIR/new.json"); code != 10 {
		t.Errorf("unconfirmed: exit code %d, want 10", code)
	}
	if code := tr.runCommand("config apply --address ADDR --yes --base 2 DIR/new.json"); code != 0 {
		t.Errorf("repeated: exit code %d, want 0", code)
	}
	tr.compareGolden("apply")
}

// Guards against a key command that withdraws a key without asking, and against
// changes of the output of the key commands.
func TestKeySession(t *testing.T) {
	tr := newTranscript(t, newFakeAPI(t, smallConfiguration(t)))
	tr.writeFile("key", []byte(operatorKey+"\n"))
	tr.runCommand("key grant --address ADDR --team quotes")
	tr.runCommand("key grant --address ADDR --role operator --output json")
	tr.runCommand("key grant --address ADDR")
	tr.runCommand("key grant --address ADDR --role king")
	tr.runCommand("key withdraw --address ADDR k1")
	tr.runAtTerminal("", "key withdraw --address ADDR k1")
	tr.runAtTerminal("yes\n", "key withdraw --address ADDR k1")
	tr.runCommand("key withdraw --address ADDR --yes k9")
	tr.runCommand("key list --address ADDR")
	tr.runCommand("key list --address ADDR --key wrong")
	tr.env = nil
	tr.runCommand("key list --address ADDR --key-file DIR/key")
	tr.runCommand("key list --address ADDR --key-file DIR/key --key x")
	tr.runCommand("key list --address ADDR")
	tr.compareGolden("key")
}

// Guards against changes of the output and exit codes of the job commands.
func TestJobSession(t *testing.T) {
	tr := newTranscript(t, newFakeAPI(t, smallConfiguration(t)))
	tr.writeFile("job.json", []byte(`{"id": "cut-1", "queue": "workshop.cut-list-build", "tasks": 2, "resources": {"cpu_millis": 500}}`))
	tr.runCommand("job submit --address ADDR DIR/job.json")
	tr.runCommand("job submit --address ADDR --queue workshop.cut-list-build --deadline 1h --output json")
	tr.runCommand("job submit --address ADDR --queue workshop.cut-list-build --cpu-millis 64001")
	tr.runCommand("job submit --address ADDR --queue workshop.cut-list-build --tasks 0 --cpu-millis -1")
	tr.runCommand("job submit --address ADDR --tasks 3 DIR/job.json")
	tr.runCommand("job submit --address ADDR")
	tr.runCommand("job status --address ADDR --tasks cut-1")
	tr.runCommand("job status --address ADDR cut-9")
	tr.runCommand("job cancel --address ADDR cut-1")
	tr.runAtTerminal("y\n", "job cancel --address ADDR cut-1")
	tr.runCommand("job list --address ADDR --state canceled")
	tr.runCommand("job list --address ADDR --limit 0")
	tr.compareGolden("job")
}

// Guards against a failed request that does not print its ID and outcome, which are
// needed to repeat it safely.
func TestRequestSession(t *testing.T) {
	tr := newTranscript(t, newFakeAPI(t, smallConfiguration(t)))
	tr.runCommand("request --address ADDR --data tower quotes.check")
	tr.runCommand("request --address ADDR --data tower --request-id 7 --output json quotes.check")
	tr.runCommand("request --address ADDR --file DIR/missing quotes.check")
	tr.runCommand("request --address ADDR quotes.price")
	tr.runCommand("request --address ADDR orders.place")
	tr.runCommand("request --address ADDR orders.nothing")
	tr.runCommand("request --address ADDR --deadline -1s orders.place")
	tr.runCommand("request --address ADDR")
	tr.runCommand("request quotes.check")
	tr.runCommand("state --address ADDR")
	tr.runCommand("version")
	tr.runCommand("versio")
	tr.runCommand("job frobnicate")
	tr.runCommand("job list --nope")
	tr.compareGolden("request")
}

// Guards against a command without help, an example or completion.
func TestEveryCommandHasHelp(t *testing.T) {
	inv := &invocation{}
	for _, group := range inv.rootCommand().Commands {
		if group.Usage == "" {
			t.Errorf("%s has no usage", group.Name)
		}
		for _, command := range group.Commands {
			if command.Usage == "" || !strings.Contains(command.Description, "Example") {
				t.Errorf("%s %s has no usage or example", group.Name, command.Name)
			}
		}
	}
	tr := newTranscript(t, "")
	tr.runCommand("config apply --help")
	tr.runCommand("config --generate-shell-completion")
	if out := tr.log.String(); !strings.Contains(out, "--yes") || !strings.Contains(out, "generate") {
		t.Errorf("help or completion is missing:\n%s", out)
	}
}
