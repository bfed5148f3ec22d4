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
func (r *transcript) runCommand(line string) int { return r.runWithInput("", false, line) }

// runAtTerminal runs a command line with a terminal on which input is typed.
func (r *transcript) runAtTerminal(input, line string) int { return r.runWithInput(input, true, line) }

func (r *transcript) runWithInput(input string, terminal bool, line string) int {
	r.t.Helper()
	var out, errOut bytes.Buffer
	inv := &invocation{
		stdin: strings.NewReader(input), stdout: &out, stderr: &errOut, stdinIsTerminal: terminal,
		getenv: func(name string) string { return r.env[name] },
		now:    func() time.Time { return time.UnixMilli(1_780_000_000_000) },
		newID:  func() (string, error) { return fakeID, nil },
	}
	args := strings.Fields(strings.NewReplacer("ADDR", r.address, "DIR", r.dir).Replace(line))
	code := inv.run(context.Background(), append([]string{"endivehill"}, args...))
	fmt.Fprintf(&r.log, "$ endivehill %s\n", line)
	if terminal {
		fmt.Fprintf(&r.log, "(typed: %q)\n", input)
	}
	r.log.Write(out.Bytes())
	for _, l := range strings.SplitAfter(errOut.String(), "\n") {
		if l != "" {
			r.log.WriteString("! " + strings.TrimSuffix(l, "\n") + "\n")
		}
	}
	fmt.Fprintf(&r.log, "exit code %d\n\n", code)
	return code
}

// compareGolden compares the transcript with a golden file.
func (r *transcript) compareGolden(name string) {
	r.t.Helper()
	got := strings.NewReplacer(r.address, "ADDR", r.dir, "DIR").Replace(r.log.String())
	file := filepath.Join("testdata", name+".golden")
	if *update {
		if err := os.WriteFile(file, []byte(got), 0o644); err != nil {
			r.t.Fatal(err)
		}
	}
	want, err := os.ReadFile(file)
	if err != nil {
		r.t.Fatal(err)
	}
	if diff := cmp.Diff(string(want), got); diff != "" {
		r.t.Errorf("transcript differs from %s (-want +got):\n%s", file, diff)
	}
}

func (r *transcript) writeFile(name string, data []byte) {
	r.t.Helper()
	if err := os.WriteFile(filepath.Join(r.dir, name), data, 0o600); err != nil {
		r.t.Fatal(err)
	}
}

func (r *transcript) writeConfiguration(name string, c api.Configuration) {
	r.t.Helper()
	data, err := config.Encode(c)
	if err != nil {
		r.t.Fatal(err)
	}
	r.writeFile(name, data)
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
	r := newTranscript(t, newFakeAPI(t, before))
	r.writeFile("answers.json", []byte(smallAnswers))
	r.writeFile("wrong.json", []byte(strings.NewReplacer(`"slots": 16`, `"slots": 17`, `"pool": "desk"`, `"pool": "attic"`).Replace(smallAnswers)))
	r.writeFile("unknown.json", []byte(strings.Replace(smallAnswers, `"share"`, `"shares"`, 1)))
	r.writeConfiguration("old.json", before)
	r.writeConfiguration("new.json", after)
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
		r.runCommand(line)
	}
	r.runAtTerminal("n\n", "config apply --address ADDR DIR/new.json")
	r.runAtTerminal("y\n", "config apply --address ADDR DIR/new.json")
	for _, line := range []string{
		"config apply --address ADDR DIR/new.json",
		"config apply --address ADDR --yes --base 1 DIR/old.json",
		"config apply --address ADDR --yes --base 2 --output json DIR/old.json",
		"config show --address ADDR --version 9",
		"config show --address ADDR",
	} {
		r.runCommand(line)
	}
	r.compareGolden("config")
}

// Guards against an apply that overwrites the version of another operator, and
// against one that succeeds before every node has confirmed it.
func TestConfigApplyRaceAndUnconfirmed(t *testing.T) {
	before := smallConfiguration(t)
	after := smallConfiguration(t)
	after.Teams[0].Share = 11
	f := &fakeAPI{version: 1, document: before, race: true}
	r := newTranscript(t, f.start(t))
	r.writeConfiguration("new.json", after)
	if code := r.runCommand("config apply --address ADDR --yes DIR/new.json"); code != 5 {
		t.Errorf("race: exit code %d, want 5", code)
	}
	f.race = false
	f.unconfirmed = []string{"node-2", "node-3"}
	if code := r.runCommand("config apply --address ADDR --yes DIR/new.json"); code != 10 {
		t.Errorf("unconfirmed: exit code %d, want 10", code)
	}
	if code := r.runCommand("config apply --address ADDR --yes --base 2 DIR/new.json"); code != 0 {
		t.Errorf("repeated: exit code %d, want 0", code)
	}
	r.compareGolden("apply")
}

// Guards against a key command that withdraws a key without asking, and against
// changes of the output of the key commands.
func TestKeySession(t *testing.T) {
	r := newTranscript(t, newFakeAPI(t, smallConfiguration(t)))
	r.writeFile("key", []byte(operatorKey+"\n"))
	r.runCommand("key grant --address ADDR --team quotes")
	r.runCommand("key grant --address ADDR --role operator --output json")
	r.runCommand("key grant --address ADDR")
	r.runCommand("key grant --address ADDR --role king")
	r.runCommand("key withdraw --address ADDR k1")
	r.runAtTerminal("", "key withdraw --address ADDR k1")
	r.runAtTerminal("yes\n", "key withdraw --address ADDR k1")
	r.runCommand("key withdraw --address ADDR --yes k9")
	r.runCommand("key list --address ADDR")
	r.runCommand("key list --address ADDR --key wrong")
	r.env = nil
	r.runCommand("key list --address ADDR --key-file DIR/key")
	r.runCommand("key list --address ADDR --key-file DIR/key --key x")
	r.runCommand("key list --address ADDR")
	r.compareGolden("key")
}

// Guards against changes of the output and exit codes of the job commands.
func TestJobSession(t *testing.T) {
	r := newTranscript(t, newFakeAPI(t, smallConfiguration(t)))
	r.writeFile("job.json", []byte(`{"id": "cut-1", "queue": "workshop.cut-list-build", "tasks": 2, "resources": {"cpu_millis": 500}}`))
	r.runCommand("job submit --address ADDR DIR/job.json")
	r.runCommand("job submit --address ADDR --queue workshop.cut-list-build --deadline 1h --output json")
	r.runCommand("job submit --address ADDR --queue workshop.cut-list-build --cpu-millis 64001")
	r.runCommand("job submit --address ADDR --queue workshop.cut-list-build --tasks 0 --cpu-millis -1")
	r.runCommand("job submit --address ADDR --tasks 3 DIR/job.json")
	r.runCommand("job submit --address ADDR")
	r.runCommand("job status --address ADDR --tasks cut-1")
	r.runCommand("job status --address ADDR cut-9")
	r.runCommand("job cancel --address ADDR cut-1")
	r.runAtTerminal("y\n", "job cancel --address ADDR cut-1")
	r.runCommand("job list --address ADDR --state canceled")
	r.runCommand("job list --address ADDR --limit 0")
	r.compareGolden("job")
}

// Guards against a failed request that does not print its ID and outcome, which are
// needed to repeat it safely.
func TestRequestSession(t *testing.T) {
	r := newTranscript(t, newFakeAPI(t, smallConfiguration(t)))
	r.runCommand("request --address ADDR --data tower quotes.check")
	r.runCommand("request --address ADDR --data tower --request-id 7 --output json quotes.check")
	r.runCommand("request --address ADDR --file DIR/missing quotes.check")
	r.runCommand("request --address ADDR quotes.price")
	r.runCommand("request --address ADDR orders.place")
	r.runCommand("request --address ADDR orders.nothing")
	r.runCommand("request --address ADDR --deadline -1s orders.place")
	r.runCommand("request --address ADDR")
	r.runCommand("request quotes.check")
	r.runCommand("state --address ADDR")
	r.runCommand("version")
	r.runCommand("versio")
	r.runCommand("job frobnicate")
	r.runCommand("job list --nope")
	r.compareGolden("request")
}

// Guards against a command without help, an example or completion.
func TestEveryVerbHasHelp(t *testing.T) {
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
	r := newTranscript(t, "")
	r.runCommand("config apply --help")
	r.runCommand("config --generate-shell-completion")
	if out := r.log.String(); !strings.Contains(out, "--yes") || !strings.Contains(out, "generate") {
		t.Errorf("help or completion is missing:\n%s", out)
	}
}
