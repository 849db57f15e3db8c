// Package e2e tests the system as separate processes over real sockets.
package e2e

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// binaryDir is the folder that holds the programs under test.
var binaryDir string

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "fuchsiafront-e2e-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	binaryDir = dir
	build := exec.Command("go", "build", "-o", dir, "../cmd/...")
	if out, err := build.CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "%s: %v\n", out, err)
		os.Exit(1)
	}
	code := m.Run()
	os.RemoveAll(dir)
	os.Exit(code)
}

// process is one program that a test started.
type process struct {
	name   string
	cmd    *exec.Cmd
	stdout io.ReadCloser
	done   chan struct{}

	mu      sync.Mutex
	stderr  strings.Builder
	waitErr error
}

// Write collects standard error.
func (p *process) Write(b []byte) (int, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.stderr.Write(b)
}

func startProcess(t *testing.T, name, program string, args ...string) *process {
	t.Helper()
	p := &process{name: name, done: make(chan struct{})}
	p.cmd = exec.Command(filepath.Join(binaryDir, program), args...)
	p.cmd.Stderr = p
	var err error
	p.stdout, err = p.cmd.StdoutPipe()
	assert.NilError(t, err)
	assert.NilError(t, p.cmd.Start())
	go func() {
		err := p.cmd.Wait()
		p.mu.Lock()
		p.waitErr = err
		p.mu.Unlock()
		close(p.done)
	}()
	t.Cleanup(func() {
		p.cmd.Process.Kill()
		<-p.done
		if t.Failed() {
			t.Logf("%s wrote:\n%s", p.name, p.stderrTail())
		}
	})
	return p
}

// maxTailBytes bounds what a failed test prints of each process.
const maxTailBytes = 6000

func (p *process) stderrTail() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	text := p.stderr.String()
	if len(text) > maxTailBytes {
		text = text[len(text)-maxTailBytes:]
	}
	return text
}

func (p *process) firstLine(t *testing.T) string {
	t.Helper()
	line, err := bufio.NewReader(p.stdout).ReadString('\n')
	assert.NilError(t, err, "%s: %s", p.name, p.stderrTail())
	return strings.TrimSpace(line)
}

func (p *process) signal(t *testing.T, s syscall.Signal) {
	t.Helper()
	assert.NilError(t, p.cmd.Process.Signal(s))
}

// wait waits for the process to end and returns its error.
func (p *process) wait(t *testing.T, limit time.Duration) error {
	t.Helper()
	select {
	case <-p.done:
		p.mu.Lock()
		defer p.mu.Unlock()
		return p.waitErr
	case <-time.After(limit):
		t.Fatalf("%s did not end within %v", p.name, limit)
		return nil
	}
}

// Ports of the processes under test lie below those from which the kernel takes
// the source ports of connections (32768 and up on Linux). A port that the kernel
// had chosen was taken as a source port before its process listened on it.
const (
	firstPort = 12000
	lastPort  = 32000
)

// nextPort is where the search for a free port goes on. Test programs that run at
// once begin at different ports.
var nextPort atomic.Int32

// freePorts returns addresses on ip whose ports nobody uses.
func freePorts(t *testing.T, ip string, n int) (addresses []string) {
	t.Helper()
	for range lastPort - firstPort {
		port := firstPort + (os.Getpid()*100+int(nextPort.Add(1)))%(lastPort-firstPort)
		l, err := net.Listen("tcp", net.JoinHostPort(ip, strconv.Itoa(port)))
		if err != nil {
			continue
		}
		l.Close()
		if addresses = append(addresses, l.Addr().String()); len(addresses) == n {
			return addresses
		}
	}
	t.Fatalf("no %d free ports on %s", n, ip)
	return nil
}

// eventually waits until condition holds.
func eventually(t *testing.T, limit time.Duration, what string, condition func() bool) {
	t.Helper()
	deadline := time.Now().Add(limit)
	for !condition() {
		if time.Now().After(deadline) {
			t.Fatalf("%s did not hold within %v", what, limit)
		}
		time.Sleep(20 * time.Millisecond)
	}
}
