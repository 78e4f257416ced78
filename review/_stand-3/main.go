// Command stand-3 plays the script cases of the third review: it starts balancers and agents as
// processes of the project's program, and stands in for callers, servers, the router and the store.
package main

import (
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// play is a case. It returns whether the rule held, and what was seen.
type play func(l *lab, trouble bool) (held bool, seen string)

func main() {
	program := flag.String("program", "target/bergamotflow", "path of the program")
	record := flag.String("record", "record.txt", "path of the record")
	logs := flag.Bool("logs", false, "keep the logs of the processes")
	flag.Parse()
	os.Exit(run(*program, *record, flag.Arg(0), *logs))
}

func run(program, record, name string, logs bool) int {
	cases := map[string]play{"dropped": playDropped, "missed": playMissed}
	p, ok := cases[name]
	out, err := os.Create(record)
	if !ok || err != nil {
		fmt.Fprintln(os.Stderr, "no case", name, err)
		return exitNotRun
	}
	defer func() { _ = out.Close() }()
	l, err := newLab(program, out)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		<-interrupted
		l.close(false)
		os.Exit(exitNotRun)
	}()
	held, seen := p(l, os.Getenv("TROUBLE") != "0")
	l.close(logs)
	if logs {
		l.record("logs in %s", l.dir)
	}
	l.record("%s", seen)
	fmt.Println(seen)
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case len(l.problems) > 0:
		return exitNotRun
	case held:
		return exitHeld
	default:
		return exitBroken
	}
}

// sleepUntil sleeps until a time since the start of the case.
func (l *lab) sleepUntil(d time.Duration) {
	time.Sleep(time.Until(l.started.Add(d)))
}
