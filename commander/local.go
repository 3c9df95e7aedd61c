package commander

import (
	"errors"
	"fmt"
	"os"

	"jujubegate.example/jujubegate/parser"
)

type checkCommand struct {
	command *Command

	input
	outputOption
}

// Execute parses the statements and prints the findings.
func (k *checkCommand) Execute([]string) error {
	c := k.command
	text, file, err := k.read(c.In)
	if err != nil {
		return c.fail(ExitUsage, err)
	}
	statements, findings := parser.Parse(file, text)
	p := c.printer(k.outputOption)
	switch {
	case p.json:
		p.printJSON(struct{ Findings []Finding }{NewFindings(findings)})
	case len(findings) > 0:
		p.printFindings(NewFindings(findings))
	default:
		c.printf("%d statements, no findings\n", len(statements))
	}
	if len(findings) > 0 {
		c.exitCode = ExitFindings
	}
	return nil
}

type formatCommand struct {
	command *Command

	input
	Write bool `short:"w" long:"write" description:"Replace the content of the file"`
}

// Execute prints formatted statements, or replaces the file.
func (f *formatCommand) Execute([]string) error {
	c := f.command
	if f.Write && f.File == "" {
		return c.fail(ExitUsage, errors.New("--write needs --file"))
	}
	text, file, err := f.read(c.In)
	if err != nil {
		return c.fail(ExitUsage, err)
	}
	formatted, findings := parser.Format(text)
	if len(findings) > 0 {
		for i := range findings {
			findings[i].Position.File = file
		}
		c.printer(outputOption{}).printFindings(NewFindings(findings))
		c.exitCode = ExitFindings
		return nil
	}
	if !f.Write {
		c.printf("%s", formatted)
		return nil
	}
	info, err := os.Stat(f.File)
	if err == nil {
		err = os.WriteFile(f.File, []byte(formatted), info.Mode().Perm())
	}
	if err != nil {
		return c.fail(ExitUsage, err)
	}
	return nil
}

type completionCommand struct {
	command *Command

	Words struct {
		Shell string `positional-arg-name:"SHELL" description:"bash"`
	} `positional-args:"yes" required:"yes"`
}

// bashCompletion calls jujubectl itself for the completions: go-flags prints them
// if GO_FLAGS_COMPLETION is set.
const bashCompletion = `_jujubectl() {
    local arguments=("${COMP_WORDS[@]:1:$COMP_CWORD}")
    local IFS=$'\n'
    COMPREPLY=($(GO_FLAGS_COMPLETION=1 "${COMP_WORDS[0]}" "${arguments[@]}"))
}
complete -o default -F _jujubectl jujubectl
`

// Execute prints the completion script of a shell.
func (s *completionCommand) Execute([]string) error {
	if s.Words.Shell != "bash" {
		return s.command.fail(ExitUsage, fmt.Errorf("no completion for shell %q, only for bash", s.Words.Shell))
	}
	s.command.printf("%s", bashCompletion)
	return nil
}
