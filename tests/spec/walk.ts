/**
 * Visits every reachable state of a specification with the graph traversal of xstate, and finds violated invariants.
 *
 * @module
 */

import { getAdjacencyMap } from 'xstate/graph'
import type { ActorLogic, EventObject, Snapshot } from 'xstate'

/** A step of a specification. `type` names it; `args` are indices. */
export interface Step extends EventObject {
  args: number[]
}

/** A specification: the steps that are possible in a state, and the invariants that every state must satisfy. */
export interface Spec<S extends object> {
  initial: S
  steps: (state: S) => Array<{ step: Step, next: S }>
  /** Invariants by name; each returns true in a state that violates it. */
  violated: Record<string, (state: S) => boolean>
}

/** Result of a {@link walk}. */
export interface WalkResult {
  states: number
  transitions: number
  /** Name of the first invariant found violated. */
  violation?: string
  /** Shortest sequence of steps that leads to that violation. */
  trace?: string[]
}

type Node<S> = Snapshot<unknown> & {
  spec: S
  /** Number of the state in the order of discovery. */
  id: number
  /** The state and the step from which this state was first reached. */
  predecessor?: { from: Node<S>, step: Step }
}

/** A step that leads to a state that was not visited before. */
type Discovery<S> = Step & { node: Node<S> }

/** Visits the reachable states breadth first and stops at the first violation, so that its trace is a shortest one. */
export function walk<S extends object> (spec: Spec<S>): WalkResult {
  const initial: Node<S> = { ...ACTIVE_SNAPSHOT, spec: spec.initial, id: 0 }
  const seen = new Set([JSON.stringify(spec.initial)])
  let transitions = 0
  let found = isViolation(spec, initial) ? initial : undefined
  const discover = (from: Node<S>): Array<Discovery<S>> => {
    const discoveries: Array<Discovery<S>> = []
    for (const { step, next } of found ? [] : spec.steps(from.spec)) {
      transitions++
      const key = JSON.stringify(next)
      if (seen.has(key)) continue
      const node = { ...ACTIVE_SNAPSHOT, spec: next, id: seen.size, predecessor: { from, step } }
      seen.add(key)
      if (isViolation(spec, node)) found ??= node
      discoveries.push({ ...step, node })
    }
    return discoveries
  }
  const logic: ActorLogic<Node<S>, Discovery<S>> = {
    getInitialSnapshot: () => initial,
    transition: (_, { node }) => node,
    getPersistedSnapshot: node => node
  }
  getAdjacencyMap(logic, { events: discover, serializeState: ({ id }) => String(id), serializeEvent: formatStep })
  const result = { states: seen.size, transitions }
  return found ? { ...result, violation: violatedInvariant(spec, found.spec), trace: traceTo(found) } : result
}

const ACTIVE_SNAPSHOT = { status: 'active', output: undefined, error: undefined } as const

/** Returns the state that `trace` leads to from the initial state. Throws when a step is not possible. */
export function replayTrace<S extends object> ({ initial, steps }: Spec<S>, trace: string[]): S {
  return trace.reduce((state, name) => {
    const found = steps(state).find(({ step }) => formatStep(step) === name)
    if (!found) throw new Error(`step ${name} is not possible in this state`)
    return found.next
  }, initial)
}

function traceTo<S> ({ predecessor }: Node<S>): string[] {
  return predecessor ? [...traceTo(predecessor.from), formatStep(predecessor.step)] : []
}

function isViolation<S extends object> (spec: Spec<S>, node: Node<S>): boolean {
  return violatedInvariant(spec, node.spec) !== undefined
}

function violatedInvariant<S extends object> (spec: Spec<S>, state: S): string | undefined {
  return Object.keys(spec.violated).find(name => spec.violated[name](state))
}

function formatStep ({ type, args }: Step): string {
  return `${type}(${args.join(',')})`
}
