package citronupstream

import "strings"

// ParsePromptParts returns the IDs of the parts in a list of ID:TOKENS entries, separated by
// commas. Entries without an ID are left out.
func ParsePromptParts(text string) []string {
	var ids []string
	for entry := range strings.SplitSeq(text, ",") {
		if id, _, ok := strings.Cut(strings.TrimSpace(entry), ":"); ok && id != "" {
			ids = append(ids, id)
		}
	}
	return ids
}
