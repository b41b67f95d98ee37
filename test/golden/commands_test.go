package golden

import (
	"context"
	"encoding/hex"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/rogpeppe/go-internal/testscript"
)

const (
	hangTimeout = 5 * time.Minute // stops a case that hangs; long enough for a busy machine
	poll        = 20 * time.Millisecond
)

func commands() map[string]func(*testscript.TestScript, bool, []string) {
	return map[string]func(*testscript.TestScript, bool, []string){
		"ports":      setPorts,
		"fill":       fill,
		"run":        run,
		"await":      await,
		"get":        get,
		"post":       post,
		"send":       send,
		"terminate":  terminate,
		"transcript": transcript,
		"sections":   sections,
	}
}

func sessionOf(ts *testscript.TestScript) *session { return ts.Value(sessionKey{}).(*session) }

// run ARGS... runs the program and adds its output and exit code to the transcript; "! run" requires a code other than 0.
func run(ts *testscript.TestScript, neg bool, args []string) {
	err := ts.Exec("persimmonstage", args...)
	code := 0
	var exit *exec.ExitError
	if errors.As(err, &exit) {
		code = exit.ExitCode()
	} else {
		ts.Check(err)
	}
	if neg == (code == 0) {
		ts.Fatalf("exit code %d: %s", code, ts.ReadFile("stderr"))
	}
	sessionOf(ts).write("$ persimmonstage "+strings.Join(args, " ")+"\n",
		indented("", ts.ReadFile("stdout")), indented("! ", ts.ReadFile("stderr")), "exit "+strconv.Itoa(code)+"\n\n")
}

// await URL [PATTERN] polls until the URL answers 200 with a body that matches the pattern; "! await" until it answers otherwise.
func await(ts *testscript.TestScript, neg bool, args []string) {
	pattern := regexp.MustCompile(strings.Join(args[1:], " "))
	last := ""
	for end := time.Now().Add(hangTimeout); time.Now().Before(end); time.Sleep(poll) {
		status, body, err := ask(http.MethodGet, args[0], nil)
		if err == nil && neg != (status == http.StatusOK && pattern.MatchString(body)) {
			return
		}
		last = strconv.Itoa(status) + " " + body
	}
	ts.Fatalf("timed out waiting for the expected answer of %s, 200 with %q; last answer: %s", args[0], pattern, last)
}

// get URL sends a GET request and adds the status and body of the answer to the transcript.
func get(ts *testscript.TestScript, _ bool, args []string) {
	record(ts, http.MethodGet, args[0], nil)
}

// post URL FILE posts a file and adds the status and body of the answer to the transcript.
func post(ts *testscript.TestScript, _ bool, args []string) {
	record(ts, http.MethodPost, args[0], []byte(ts.ReadFile(args[1])), args[1:]...)
}

func record(ts *testscript.TestScript, method, url string, body []byte, names ...string) {
	status, got, err := ask(method, url, body)
	ts.Check(err)
	line := strings.Join(append([]string{method, url}, names...), " ")
	sessionOf(ts).write("$ "+line+"\n", strconv.Itoa(status), "\n", indented("", got), "\n")
}

func ask(method, url string, body []byte) (int, string, error) {
	ctx, cancel := context.WithTimeout(context.Background(), hangTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, url, strings.NewReader(string(body)))
	if err != nil {
		return 0, "", err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, "", err
	}
	defer resp.Body.Close()
	got, err := io.ReadAll(resp.Body)
	return resp.StatusCode, string(got), err
}

// send ADDRESS HEX sends raw bytes and waits until the other side has closed the connection.
func send(ts *testscript.TestScript, _ bool, args []string) {
	data, err := hex.DecodeString(args[1])
	ts.Check(err)
	c, err := net.Dial("tcp", args[0])
	ts.Check(err)
	defer c.Close()
	_, err = c.Write(data)
	ts.Check(err)
	ts.Check(c.SetDeadline(time.Now().Add(hangTimeout)))
	_, err = io.Copy(io.Discard, c)
	if errors.Is(err, os.ErrDeadlineExceeded) {
		ts.Fatalf("%s keeps the connection open", args[0])
	}
	sessionOf(ts).write("$ send " + args[0] + " " + args[1] + "\nconnection closed\n\n")
}

// transcript ARGS... adds the output of the last exec or wait to the transcript, as that of the program run with ARGS.
func transcript(ts *testscript.TestScript, _ bool, args []string) {
	sessionOf(ts).write("$ persimmonstage "+strings.Join(args, " ")+"\n",
		indented("", ts.ReadFile("stdout")), indented("! ", ts.ReadFile("stderr")), "\n")
}

// terminate WORD sends SIGTERM to the background process that has WORD among its arguments.
func terminate(ts *testscript.TestScript, _ bool, args []string) {
	for _, c := range ts.BackgroundCmds() {
		if slices.Contains(c.Args, args[0]) {
			ts.Check(c.Process.Signal(syscall.SIGTERM))
			return
		}
	}
	ts.Fatalf("no background process has the argument %s", args[0])
}
