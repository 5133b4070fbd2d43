package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"eiderwinch/internal/admin"
	"eiderwinch/internal/configuration/manager"
	"eiderwinch/internal/trial/fake"
	"eiderwinch/internal/trial/faults"
	"eiderwinch/internal/trial/testpeer"
)

// movedProgram is the built program among discovery services that replace each other.
type movedProgram struct {
	*program
	path, ops string
	addr      string
	current   *fake.Discovery // at the address that the platform has named last
	searcher  fake.Member     // the only one that current lists
	asked     *atomic.Int64   // parts that searcher has received
}

// newMovedProgram starts discovery with one searcher. launch starts the program.
func newMovedProgram(t *testing.T, path string) *movedProgram {
	dir, err := os.MkdirTemp("", "move") // the path of a Unix socket is short, that of t.TempDir may not be
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = os.RemoveAll(dir) })
	m := &movedProgram{path: path, ops: filepath.Join(dir, "eiderwinch.xml")}
	m.startDiscovery(t)
	m.writeOperators(t, "")
	return m
}

// startDiscovery starts discovery that lists one new searcher.
func (m *movedProgram) startDiscovery(t *testing.T) {
	t.Helper()
	d, err := fake.NewDiscovery()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = d.Close() })
	m.current = d
	m.startSearcher(t)
	d.Publish(m.searcher)
}

func (m *movedProgram) startSearcher(t *testing.T) {
	t.Helper()
	asked := new(atomic.Int64)
	s, err := fake.NewSearcher(fake.SearcherOptions{
		ID:       fmt.Sprintf("s-%d", time.Now().UnixNano()),
		Handler:  fake.NewSharedCatalogue(fake.SharedCatalogueOptions{Segments: 4}),
		Received: func(fake.Part) { asked.Add(1) },
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = s.Close() })
	m.searcher = fake.Member{ID: s.ID(), Addr: s.Addr(), Zone: "a", Kind: "std", Phase: fake.Ready, Size: 1}
	m.asked = asked
}

// platform returns the platform's configuration that names an address of discovery.
func (m *movedProgram) platform(discovery string) string {
	known := testpeer.Member(m.searcher.ID, m.searcher.Addr, fake.Ready, 0)
	return fmt.Sprintf(configText, discovery, known, strings.ReplaceAll(settingsText, "60000000000", "4000000000"))
}

// writeOperators writes the operators' file with further elements besides the admin socket and the history.
func (m *movedProgram) writeOperators(t *testing.T, elements string) {
	t.Helper()
	text := fmt.Sprintf(`<eiderwinch xmlns="urn:eiderwinch:operators:1"><admin endpoint=%q/><history file="history.db"/>%s</eiderwinch>`,
		m.socket(), elements)
	if err := os.WriteFile(m.ops, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
}

// launch starts the program with an operators' file, or without one.
func (m *movedProgram) launch(t *testing.T, withOperators bool) {
	t.Helper()
	var args []string
	if withOperators {
		args = []string{"serve", "--file", m.ops}
	}
	m.awaitServing(t, launchWith(t, m.path, args, m.platform(m.current.Addr())))
}

func (m *movedProgram) awaitServing(t *testing.T, p *program) {
	t.Helper()
	m.program = p
	_, addr, _ := strings.Cut(p.waitForLog(t, "msg=serving"), "addr=")
	m.addr, _, _ = strings.Cut(addr, " ")
}

// move starts discovery at another address, names it in the platform's configuration, sends SIGHUP and ends discovery at
// the address before.
func (m *movedProgram) move(t *testing.T) {
	t.Helper()
	before := m.current
	m.startDiscovery(t)
	m.signalMove(t, m.current.Addr())
	_ = before.Close()
}

func (m *movedProgram) signalMove(t *testing.T, addr string) {
	t.Helper()
	m.configure(t, m.platform(addr))
	_ = m.Process.Signal(syscall.SIGHUP)
}

// expectFollowed waits until queries reach the searcher that the current discovery lists, replaces that searcher at
// discovery, and waits for the new one.
func (m *movedProgram) expectFollowed(t *testing.T) {
	t.Helper()
	m.expectAsked(t)
	gone := m.searcher
	gone.Phase = fake.Gone
	m.startSearcher(t)
	m.current.Publish(gone, m.searcher)
	m.expectAsked(t)
}

func (m *movedProgram) expectAsked(t *testing.T) {
	t.Helper()
	n := 0
	testpeer.WaitUntil(t, "a query reaches the searcher that discovery lists at its newest address", func() bool {
		n++
		postSearch(t, m.addr, fmt.Sprintf("%s-%d", m.searcher.ID, n), "find x")
		return m.asked.Load() > 0
	})
}

// command runs a command of the program that must succeed.
func (m *movedProgram) command(t *testing.T, args ...string) {
	t.Helper()
	if code, out, errs := runCommand(t, nil, append(args, "--at", m.socket())...); code != exitOK {
		t.Fatalf("%v: %s%s", args, out, errs)
	}
}

// socket returns the endpoint of the admin socket.
func (m *movedProgram) socket() string { return "unix:" + filepath.Join(filepath.Dir(m.ops), "g") }

// await waits until the first transaction is in a state, and returns the status.
func (m *movedProgram) await(t *testing.T, state string) manager.Status {
	t.Helper()
	return waitForJSON(t, state, func(s manager.Status) bool {
		return len(s.Transactions) > 0 && s.Transactions[0].State == state
	}, "config", "status", "--json", "--at", m.socket())
}

// expectAddressAfterUndo waits until the first transaction is undone, and checks that discovery is asked at the address of
// the platform's file.
func (m *movedProgram) expectAddressAfterUndo(t *testing.T) {
	t.Helper()
	s := m.await(t, "undone")
	if s.Discovery.Address != m.current.Addr() || s.Discovery.Source != "reload" {
		t.Errorf("discovery is asked at %+v, want %s", s.Discovery, m.current.Addr())
	}
}

// applyChange puts a change of the operators on probation for a minute.
func (m *movedProgram) applyChange(t *testing.T) {
	t.Helper()
	m.writeOperators(t, `<class name="search" open="50"/>`)
	m.command(t, "config", "stage", "--operators", m.ops)
	m.command(t, "config", "apply", "--within", "60s", "1")
	m.await(t, "probation")
}

// requestReload requests a reload on the admin socket.
func (m *movedProgram) requestReload(t *testing.T) {
	t.Helper()
	client := admin.NewClient(m.socket(), testpeer.Timeout, nil)
	defer client.Close()
	if err := client.Do(context.Background(), http.MethodPost, "/v1/config/reload", nil, nil); err != nil {
		t.Errorf("reload: %v", err)
	}
}

// forwardLater forwards connections at an address, which refuses them until a delay is over, to another one.
func forwardLater(t *testing.T, to string, delay time.Duration) (addr string) {
	t.Helper()
	reserved, err := net.Listen("tcp", "127.0.0.2:0") // at an address where no other test can take the port meanwhile
	if err != nil {
		t.Fatal(err)
	}
	addr = reserved.Addr().String()
	_ = reserved.Close()
	time.AfterFunc(delay, func() {
		listener, err := net.Listen("tcp", addr)
		if err != nil {
			t.Error(err)
			return
		}
		t.Cleanup(func() { _ = listener.Close() })
		for {
			conn, err := listener.Accept()
			if errors.Is(err, net.ErrClosed) {
				return
			}
			target, err := net.Dial("tcp", to)
			if err != nil {
				_ = conn.Close()
				continue
			}
			go func() { _, _ = io.Copy(conn, target); _ = conn.Close() }()
			go func() { _, _ = io.Copy(target, conn); _ = target.Close() }()
		}
	})
	return addr
}

// Guards against a move of discovery by the platform that is dropped, delayed or undone by what is meant for changes of
// the operators: the gatherer then asks an address that is gone, and sends parts to searchers that have left.
func TestMoveOfDiscoveryIsFollowedBesideConfigurationChanges(t *testing.T) {
	path := buildProgram(t)
	for name, play := range map[string]func(*testing.T, *movedProgram){
		"two moves": func(t *testing.T, m *movedProgram) {
			m.launch(t, true)
			m.move(t)
			m.expectFollowed(t)
			m.move(t)
		},
		"three moves in quick succession": func(t *testing.T, m *movedProgram) {
			m.launch(t, true)
			for range 3 {
				m.move(t)
				time.Sleep(300 * time.Millisecond)
			}
		},
		"two moves without an operators' file": func(t *testing.T, m *movedProgram) {
			m.launch(t, false)
			m.move(t)
			m.expectFollowed(t)
			m.move(t)
		},
		"three moves without an operators' file": func(t *testing.T, m *movedProgram) {
			m.launch(t, false)
			for range 3 {
				m.move(t)
				time.Sleep(300 * time.Millisecond)
			}
		},
		"a change on probation": func(t *testing.T, m *movedProgram) {
			m.launch(t, true)
			m.applyChange(t)
			m.move(t)
		},
		"a change on probation, which is undone": func(t *testing.T, m *movedProgram) {
			m.launch(t, true)
			m.applyChange(t)
			m.move(t)
			m.expectFollowed(t)
			m.command(t, "config", "undo", "1")
			m.expectAddressAfterUndo(t)
		},
		"a move with a change, which is undone": func(t *testing.T, m *movedProgram) {
			m.launch(t, true)
			m.writeOperators(t, `<class name="search" open="50"/>`)
			m.move(t)
			m.await(t, "probation")
			m.expectFollowed(t)
			m.command(t, "config", "undo", "1")
			m.expectAddressAfterUndo(t)
		},
		"a move with a change, which is not confirmed": func(t *testing.T, m *movedProgram) {
			m.launch(t, true)
			m.writeOperators(t, `<guard probation="2s" auto="false"/>`)
			m.move(t)
			m.expectAddressAfterUndo(t)
		},
		"a half-written operators' file": func(t *testing.T, m *movedProgram) {
			m.launch(t, true)
			if err := os.WriteFile(m.ops, []byte("<eiderwinch"), 0o600); err != nil {
				t.Fatal(err)
			}
			m.move(t)
		},
		"an operators' file that is gone": func(t *testing.T, m *movedProgram) {
			m.launch(t, true)
			if err := os.Remove(m.ops); err != nil {
				t.Fatal(err)
			}
			m.move(t)
		},
		"an operators' file that does not fit the platform's": func(t *testing.T, m *movedProgram) {
			m.launch(t, true)
			m.writeOperators(t, `<class name="nobody"/>`)
			m.move(t)
		},
		"a signature is required": func(t *testing.T, m *movedProgram) {
			if err := os.WriteFile(filepath.Join(filepath.Dir(m.ops), "keys.xml"), []byte(testpeer.KeyFile("k")), 0o600); err != nil {
				t.Fatal(err)
			}
			m.writeOperators(t, `<signing keys="keys.xml"/>`)
			m.launch(t, true)
			m.move(t)
		},
		"the new address refuses connections at first": func(t *testing.T, m *movedProgram) {
			m.launch(t, true)
			before := m.current
			m.startDiscovery(t)
			m.signalMove(t, forwardLater(t, m.current.Addr(), 1500*time.Millisecond))
			_ = before.Close()
		},
		"a history that can't be written": func(t *testing.T, m *movedProgram) {
			const begin = 3 * time.Second // after the start, which writes the first record
			fails := faults.Fault{Call: "pwrite64", Errno: syscall.ENOSPC, Target: faults.File, Path: ".db", After: begin}
			cmd, err := faults.Command(faults.Plan{Seed: 1, Faults: []faults.Fault{fails}}, m.path, "serve", "--file", m.ops)
			if err != nil {
				t.Fatal(err)
			}
			started := time.Now()
			m.awaitServing(t, launchCommand(t, cmd, m.platform(m.current.Addr())))
			time.Sleep(time.Until(started.Add(begin)))
			m.writeOperators(t, `<class name="search" open="50"/>`)
			m.move(t)
			m.expectFollowed(t)
			m.move(t)
		},
		"a platform's file whose reading hangs, then another": func(t *testing.T, m *movedProgram) {
			m.launch(t, true)
			if err := errors.Join(os.Remove(m.file), syscall.Mkfifo(m.file, 0o600)); err != nil {
				t.Fatal(err)
			}
			_ = m.Process.Signal(syscall.SIGHUP)
			time.Sleep(300 * time.Millisecond) // until the read waits for a writer, which never comes
			if err := os.Remove(m.file); err != nil {
				t.Fatal(err)
			}
			m.move(t)
		},
		"a request on the admin socket in place of SIGHUP": func(t *testing.T, m *movedProgram) {
			m.launch(t, true)
			m.applyChange(t)
			before := m.current
			m.startDiscovery(t)
			m.configure(t, m.platform(m.current.Addr()))
			m.requestReload(t)
			_ = before.Close()
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			m := newMovedProgram(t, path)
			play(t, m)
			m.expectFollowed(t)
		})
	}
}

// Guards against a move of discovery that passes for a change of the operators: it would refuse theirs for as long as it is
// on probation, want their signature, and apply a text again that was undone.
func TestMoveOfDiscoveryIsNoTransaction(t *testing.T) {
	m := newMovedProgram(t, buildProgram(t))
	m.launch(t, true)
	m.writeOperators(t, `<class name="search" open="50"/>`)
	_ = m.Process.Signal(syscall.SIGHUP)
	m.await(t, "probation")
	m.command(t, "config", "undo", "1")
	m.await(t, "undone")
	m.move(t)
	m.expectFollowed(t)
	m.waitForLog(t, "only the platform's file has changed")
	if s := m.await(t, "undone"); len(s.Transactions) != 1 {
		t.Errorf("after a move: %+v", s.Transactions)
	}
	m.requestReload(t) // the operators'
	if s := m.await(t, "undone"); len(s.Transactions) != 2 || s.Transactions[1].State == "discarded" {
		t.Errorf("after a request of the operators: %+v", s.Transactions)
	}
}

// Guards against a start with the searchers of the first file that was ever confirmed: discovery tells only what has
// changed since the revision that the gatherer names.
func TestStartAfterAKillUsesTheKnownSearchersOfThePlatformsFile(t *testing.T) {
	m := newMovedProgram(t, buildProgram(t))
	m.launch(t, true)
	m.move(t)
	m.expectAsked(t)
	m.kill(t)
	m.asked.Store(0)
	m.launch(t, true)
	m.expectAsked(t)
}

// drawnMoveSeeds is how many seeds TestMovesOfDiscoveryBesideDrawnChanges plays, unless EIDERWINCH_SOAK_SEEDS says another number.
const drawnMoveSeeds = 4

// Guards against an order of moves, changes, signals and kills of a real process in which discovery is not followed.
func TestMovesOfDiscoveryBesideDrawnChanges(t *testing.T) {
	path := buildProgram(t)
	seeds := drawnMoveSeeds
	if n, err := strconv.Atoi(os.Getenv(soakSeedsVariable)); err == nil {
		seeds = n
	}
	for seed := range uint64(seeds) {
		t.Run(fmt.Sprint("seed ", seed+1), func(t *testing.T) {
			t.Parallel()
			m := newMovedProgram(t, path)
			m.launch(t, true)
			rng := rand.New(rand.NewPCG(seed+1, 61))
			for range 12 {
				step := drawnSteps[rng.IntN(len(drawnSteps))]
				t.Log(step.name)
				step.do(t, m, rng)
				time.Sleep(time.Duration(rng.IntN(300)) * time.Millisecond)
			}
			m.expectFollowed(t)
		})
	}
}

// drawnSteps are what TestMovesOfDiscoveryBesideDrawnChanges draws from.
var drawnSteps = []struct {
	name string
	do   func(*testing.T, *movedProgram, *rand.Rand)
}{
	{"move", func(t *testing.T, m *movedProgram, _ *rand.Rand) { m.move(t) }},
	{"move, and follow", func(t *testing.T, m *movedProgram, _ *rand.Rand) {
		m.move(t)
		m.expectFollowed(t)
	}},
	{"change by signal", func(t *testing.T, m *movedProgram, rng *rand.Rand) {
		m.writeDrawnOperators(t, rng)
		_ = m.Process.Signal(syscall.SIGHUP)
	}},
	{"change without signal", func(t *testing.T, m *movedProgram, rng *rand.Rand) { m.writeDrawnOperators(t, rng) }},
	{"half-written change", func(t *testing.T, m *movedProgram, _ *rand.Rand) {
		if err := os.WriteFile(m.ops, []byte("<eiderwinch"), 0o600); err != nil {
			t.Fatal(err)
		}
	}},
	{"confirm", func(t *testing.T, m *movedProgram, _ *rand.Rand) { m.tryLastTransaction(t, "confirm") }},
	{"undo", func(t *testing.T, m *movedProgram, _ *rand.Rand) { m.tryLastTransaction(t, "undo") }},
	{"kill and start", func(t *testing.T, m *movedProgram, rng *rand.Rand) {
		m.kill(t)
		m.writeDrawnOperators(t, rng) // a half-written file would keep the program from starting
		m.launch(t, true)
	}},
}

func (m *movedProgram) writeDrawnOperators(t *testing.T, rng *rand.Rand) {
	t.Helper()
	m.writeOperators(t, fmt.Sprintf(`<guard probation="1s" auto="%t"/><class name="search" open="%d"/>`, rng.IntN(2) == 0, 50+rng.IntN(3)))
}

// tryLastTransaction runs a command for the last transaction, which may be refused.
func (m *movedProgram) tryLastTransaction(t *testing.T, command string) {
	t.Helper()
	s := waitForJSON(t, "a status", func(manager.Status) bool { return true }, "config", "status", "--json", "--at", m.socket())
	if n := len(s.Transactions); n > 0 {
		runCommand(t, nil, "config", command, "--at", m.socket(), fmt.Sprint(s.Transactions[n-1].Tx))
	}
}
