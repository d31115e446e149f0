package target

// bytesPerToken is the assumed length of a prompt token in bytes.
const bytesPerToken = 4

// PromptTokens returns the estimated length of a prompt in tokens.
func PromptTokens(prompt string) int {
	return (len(prompt) + bytesPerToken - 1) / bytesPerToken
}

// PrefixScope returns the part of a prefix cache key that identifies the model
// and the adapter.
func PrefixScope(model, adapter string) string { return model + "/" + adapter }
