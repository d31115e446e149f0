package target

// bytesPerToken is the length of a prompt token in bytes.
const bytesPerToken = 4

// PromptTokens returns the length of a prompt in tokens.
func PromptTokens(prompt string) int {
	return (len(prompt) + bytesPerToken - 1) / bytesPerToken
}

// PrefixScope names what a prefix cache entry depends on besides the prompt.
func PrefixScope(model, adapter string) string { return model + "/" + adapter }
