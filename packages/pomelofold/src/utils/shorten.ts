/** Returns the first `maxChars` characters of a text, and tells whether it is longer. */
export function shorten (text: string, maxChars: number): string {
  return text.length > maxChars ? `${text.slice(0, maxChars)}…` : text
}
