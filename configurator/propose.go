package configurator

import (
	"context"
	"fmt"
	"time"
	"unicode/utf8"

	"go.uber.org/zap"

	"jujubegate.example/jujubegate"
	"jujubegate.example/jujubegate/parser"
)

// Proposal is a batch of statements that somebody wants in force.
type Proposal struct {
	// Statements is the text of the batch.
	Statements string
	// File names the text in findings.
	File   string
	Author string
	// Token identifies the proposal when it is sent again; empty for a new one.
	Token string
	// DryRun checks the batch without changing anything.
	DryRun bool
	// After is the generation that the batch was decided on; 0 means any. If a
	// later one is in force, the proposal fails with ConflictError. It keeps a
	// component that was paused from acting on an old state.
	After jujubegate.Generation
}

// maxAuthor is the largest number of bytes in the name of an author.
const maxAuthor = 256

// check returns findings about the parts other than the statements. Tokens
// are part of snapshots, where they have the form of names.
func (p Proposal) check() jujubegate.Findings {
	at := jujubegate.Position{File: p.File, Line: 1, Column: 1}
	var findings jujubegate.Findings
	if p.Token != "" && !parser.ValidName(p.Token) {
		findings = append(findings, jujubegate.Finding{
			Position: at, Message: fmt.Sprintf("token %.100q is not a name of at most %d characters", p.Token, parser.MaxName),
		})
	}
	if len(p.Author) > maxAuthor || !utf8.ValidString(p.Author) {
		findings = append(findings, jujubegate.Finding{
			Position: at, Message: fmt.Sprintf("author is not a text of at most %d bytes", maxAuthor),
		})
	}
	return findings
}

// Propose is Submit with a new token.
func (f *Follower) Propose(ctx context.Context, text, author string) (jujubegate.Generation, error) {
	return f.Submit(ctx, Proposal{Statements: text, Author: author})
}

// Submit checks a batch against the newest generation and adds it to the log.
// It returns the generation that holds the change, or the current one if the
// batch changes nothing. It fails with jujubegate.Findings, ConflictError,
// UnavailableError or OutcomeUnknownError; only after the last the change may
// be in force. Sending a proposal again with its token is safe as long as
// fewer than 256 changes came after it.
func (f *Follower) Submit(ctx context.Context, p Proposal) (jujubegate.Generation, error) {
	batch, findings := parser.Parse(p.File, p.Statements)
	if findings = append(findings, p.check()...); len(findings) > 0 {
		return 0, findings
	}
	batch = writes(batch)
	if len(batch) == 0 {
		return f.Current().Generation(), nil
	}
	if p.Token == "" {
		p.Token = f.NewToken()
	}
	select {
	case f.proposing <- struct{}{}:
		defer func() { <-f.proposing }()
	case <-ctx.Done():
		return 0, &UnavailableError{Cause: ctx.Err()}
	}
	applied, err := f.catchUp(ctx, f.Current().Generation())
	f.announce(applied)
	if err != nil {
		return 0, &UnavailableError{Cause: err}
	}
	s := f.current.Load()
	if g, ok := s.tokens[p.Token]; ok {
		return g, nil
	}
	if p.After != 0 && p.After != s.configuration.generation {
		latest := s.configuration.generation
		known, _ := s.known(latest)
		return 0, &ConflictError{Generation: latest, Author: known.Author}
	}
	// Peers carry the time in microseconds, so that it must be whole there.
	at := f.clock.Now().UTC().Truncate(time.Microsecond)
	next, findings := s.configuration.Apply(batch, at)
	if len(findings) > 0 {
		return 0, findings
	}
	if p.DryRun {
		return next.Generation(), nil
	}
	return f.create(ctx, Change{
		Generation: next.Generation(), Author: p.Author, Token: p.Token, At: at, Statements: parser.Join(batch),
	})
}

// create adds a change to the log and applies what the log then holds.
func (f *Follower) create(ctx context.Context, change Change) (jujubegate.Generation, error) {
	stored, err := f.log.Create(ctx, change)
	if stored.Generation > 0 {
		applied, offerErr := f.advance([]Change{stored}, 0)
		f.announce(applied)
		if offerErr != nil {
			f.logger.Warn("configurator: stored change is not in force here", zap.Error(offerErr))
		}
	}
	if err != nil {
		f.logger.Warn("configurator: proposal failed", zap.Int64("Generation", int64(change.Generation)),
			zap.String("Author", change.Author), zap.Error(err))
		return 0, err
	}
	return stored.Generation, nil
}

// writes returns the statements that change something.
func writes(batch []parser.Statement) []parser.Statement {
	var list []parser.Statement
	for _, s := range batch {
		if _, ok := s.(*parser.Show); !ok {
			list = append(list, s)
		}
	}
	return list
}
