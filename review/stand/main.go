// Command stand runs the scripted cases of the review: it starts the project's programs as
// processes on loopback addresses, with stand-ins for clients, endpoints and the platform.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
)

// Exit codes of a case.
const (
	held   = 0
	broken = 1
	cannot = 2
)

func main() {
	if len(os.Args) != 4 {
		fmt.Fprintln(os.Stderr, "usage: stand CASE PROGRAM FOLDER")
		os.Exit(cannot)
	}
	os.Exit(run(os.Args[1], os.Args[2], os.Args[3]))
}

// run plays a case and returns its exit code.
func run(name, program, folder string) (code int) {
	c, ok := cases[name]
	if !ok {
		fmt.Fprintln(os.Stderr, "no case", name)
		return cannot
	}
	var l *lab
	defer func() {
		switch cause := recover().(type) {
		case nil:
		case unable:
			fmt.Fprintln(os.Stderr, "the case could not run:", cause.err)
			code = cannot
		default:
			if l != nil {
				l.close()
			}
			panic(cause)
		}
		if l != nil {
			l.close()
		}
	}()
	l = newLab(program, filepath.Join(folder, "record.txt"))
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		<-stop
		l.close()
		os.Exit(cannot)
	}()
	trouble := os.Getenv("TROUBLE") != "0"
	l.record("case %s, trouble: %t", name, trouble)
	c.play(l, trouble)
	l.mu.Lock()
	found := l.breaches[c.rule]
	l.mu.Unlock()
	l.record("requests sent %d, answered %d, run %d; breaches: %v", l.requests.sent, l.requests.answered, l.requests.ran, l.breaches)
	l.mu.Lock()
	l.ended = true
	l.mu.Unlock()
	fmt.Printf("%s, trouble %t: %d breaches of %s, all: %v\n", name, trouble, found, c.rule, l.breaches)
	if found > 0 {
		return broken
	}
	return held
}
