/**
 * Text form of sets of task indexes, such as `0-9,12`.
 *
 * @module
 */

/** Formats a set as ascending ranges. */
export function formatRanges (indexes: Iterable<number>): string {
  const sorted = [...indexes].sort((a, b) => a - b)
  const ranges: Array<[number, number]> = []
  for (const index of sorted) {
    const last = ranges.at(-1)
    if (last && index === last[1] + 1) last[1] = index
    else ranges.push([index, index])
  }
  return ranges.map(([first, last]) => first === last ? String(first) : `${first}-${last}`).join(',')
}

/** Parses the output of {@link formatRanges}. */
export function parseRanges (text: string): Set<number> {
  const indexes = new Set<number>()
  for (const range of text.split(',').filter(Boolean)) {
    const [first, last = first] = range.split('-').map(Number)
    for (let index = first; index <= last; index++) indexes.add(index)
  }
  return indexes
}
