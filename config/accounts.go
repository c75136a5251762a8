package config

import (
	"bytes"
	"fmt"
	"regexp"
	"slices"
	"strings"

	"github.com/rotisserie/eris"

	"merlinhall/accounts"
)

// checkAccounts checks the client accounts. Faults name accounts, never a key.
func (k *checker) checkAccounts() {
	holder := make(map[accounts.Digest]string)
	for i, a := range k.raw.Account {
		key := fmt.Sprintf("account[%d]", i)
		k.define(k.accounts, key, "account", a.Name)
		for j, text := range a.KeyDigests {
			digestKey := fmt.Sprintf("%s.key_digests[%d]", key, j)
			d, err := accounts.ParseDigest(text)
			other, taken := holder[d]
			switch {
			case err != nil:
				k.doc.Report(digestKey, "the digest is "+err.Error(), `write the one that "merlinhall account add-key" prints; a key itself does not belong here`)
			case d == accounts.DigestOf(""):
				k.doc.Report(digestKey, "it is the digest of an empty key", "add another key")
			case taken:
				k.doc.Report(digestKey, fmt.Sprintf("account %q has the same key", other), "give each account keys of its own")
			}
			holder[d] = a.Name
		}
	}
}

// checkAccess checks who may use a service or pool.
func (k *checker) checkAccess(key string, a Access) {
	for j, name := range a.Accounts {
		if !k.accounts[name] {
			k.reportUndefined(fmt.Sprintf("%s.accounts[%d]", key, j), "account", name, sortedNames(k.accounts))
		}
	}
	if a.Anonymous && len(a.Accounts) > 0 {
		k.doc.Report(key+".anonymous", "callers without a key may use it, and only some accounts may", "remove one of anonymous and accounts")
	}
}

var (
	// ErrNoAccount is wrapped by the errors of changes to an account that is not there.
	ErrNoAccount = eris.New("no such account")
	// ErrAccountExists is returned for an account that is there already.
	ErrAccountExists = eris.New("the account exists")
	// ErrNoKey is wrapped by the error of a removal of a key that no account has.
	ErrNoKey = eris.New("no account has the key")
)

// digestsPattern matches the list of digests of an account.
var digestsPattern = regexp.MustCompile(`(?m)^key_digests\s*=\s*\[[^\]]*\]`)

// AddAccount returns the text of a configuration with another account without keys. The rest
// of the text stays as it is.
func AddAccount(text []byte, name string) ([]byte, error) {
	if _, _, ok := accountBlock(text, name); ok {
		return nil, ErrAccountExists
	}
	return append(append(bytes.TrimRight(slices.Clone(text), "\n"), "\n\n"...), fmt.Sprintf("[[account]]\nname = %q\nkey_digests = []\n", name)...), nil
}

// AddKey returns the text with another key of an account.
func AddKey(text []byte, name string, digest accounts.Digest) ([]byte, error) {
	return changeDigests(text, name, func(list []string) []string { return append(list, fmt.Sprintf("%x", digest[:])) })
}

// RemoveKey returns the text without the key whose digest begins with prefix.
func RemoveKey(text []byte, prefix string) ([]byte, error) {
	c, err := Load(text)
	if err != nil {
		return nil, err
	}
	var found []string
	for _, a := range c.Accounts {
		for _, d := range a.Keys {
			if strings.HasPrefix(fmt.Sprintf("%x", d[:]), prefix) {
				found = append(found, a.Name)
			}
		}
	}
	if len(found) != 1 {
		return nil, eris.Wrapf(ErrNoKey, "%d keys begin with %q", len(found), prefix)
	}
	return changeDigests(text, found[0], func(list []string) []string {
		return slices.DeleteFunc(list, func(d string) bool { return strings.HasPrefix(d, prefix) })
	})
}

// accountBlock returns where the table of an account stands in a text.
func accountBlock(text []byte, name string) (from, to int, ok bool) {
	const header = "[[account]]"
	for at := 0; ; {
		i := bytes.Index(text[at:], []byte(header))
		if i < 0 {
			return 0, 0, false
		}
		from = at + i
		to = len(text)
		if next := bytes.Index(text[from+len(header):], []byte("\n[")); next >= 0 {
			to = from + len(header) + next + 1
		}
		if c, err := Load(text[from:to]); err == nil && len(c.Accounts) == 1 && c.Accounts[0].Name == name {
			return from, to, true
		}
		at = from + len(header)
	}
}

func changeDigests(text []byte, name string, change func([]string) []string) ([]byte, error) {
	from, to, ok := accountBlock(text, name)
	if !ok {
		return nil, eris.Wrapf(ErrNoAccount, "%q", name)
	}
	block := text[from:to]
	c, err := Load(block)
	if err != nil {
		return nil, err
	}
	var list []string
	for _, d := range c.Accounts[0].Keys {
		list = append(list, fmt.Sprintf("%x", d[:]))
	}
	var line strings.Builder
	line.WriteString("key_digests = [")
	for _, d := range change(list) {
		fmt.Fprintf(&line, "\n  %q,", d)
	}
	if strings.HasSuffix(line.String(), ",") {
		line.WriteString("\n")
	}
	line.WriteString("]")
	if digestsPattern.Match(block) {
		block = digestsPattern.ReplaceAllLiteral(block, []byte(line.String()))
	} else {
		block = append(append(bytes.TrimRight(slices.Clone(block), "\n"), '\n'), line.String()+"\n"...)
	}
	return slices.Concat(text[:from], block, text[to:]), nil
}
