/**
 * Random documents for fuzz tests: a valid document with up to three values replaced, removed or added.
 *
 * @module
 */

import fc from 'fast-check'

type NodePath = Array<string | number>
type Node = Record<string | number, unknown>

interface Mutation {
  at: number
  how: 'replace' | 'remove' | 'add'
  value: unknown
}

const ODD_VALUES = [null, true, '', ' ', 'x'.repeat(300), -1, 0, -0, 0.5, 1e308, -1e308, Number.MAX_SAFE_INTEGER + 1, '__proto__', 'urgent', 'NaN', [], {}, [[]], { __proto__: null }]

const valueArb = fc.oneof(fc.constantFrom<unknown>(...ODD_VALUES), fc.jsonValue({ maxDepth: 3 }), fc.integer(), fc.double({ noNaN: true }))

const mutationArb: fc.Arbitrary<Mutation> = fc.record({
  at: fc.nat(),
  how: fc.constantFrom('replace', 'remove', 'add'),
  value: valueArb
})

/** Generates mutations of `valid` and, one time in ten, an unrelated JSON document. */
export function nearlyValid (valid: unknown): fc.Arbitrary<unknown> {
  const mutated = fc.array(mutationArb, { maxLength: 3 }).map(mutations => mutations.reduce(mutate, structuredClone(valid)))
  return fc.oneof({ weight: 9, arbitrary: mutated }, { weight: 1, arbitrary: fc.jsonValue() })
}

function mutate (document: unknown, { at, how, value }: Mutation): unknown {
  const paths = pathsOf(document)
  const path = paths[at % paths.length]
  if (path.length === 0) return how === 'replace' ? value : document
  const parent = path.slice(0, -1).reduce((node, step) => node[step] as Node, document as Node)
  const step = path.at(-1)!
  if (how === 'remove') delete parent[step]
  else parent[how === 'add' ? `${step}x` : step] = value
  return document
}

function pathsOf (node: unknown): NodePath[] {
  if (node === null || typeof node !== 'object') return [[]]
  const entries = Array.isArray(node) ? node.map((child, i) => [i, child] as const) : Object.entries(node)
  return [[], ...entries.flatMap(([step, child]) => pathsOf(child).map(path => [step, ...path]))]
}
