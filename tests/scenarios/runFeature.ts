/**
 * Runs the scenarios of one feature file, each as a test.
 *
 * @module
 */

import { readFileSync } from 'node:fs'
import { AstBuilder, GherkinClassicTokenMatcher, Parser } from '@cucumber/gherkin'
import { IdGenerator } from '@cucumber/messages'
import t from 'tap'
import { STEPS, type World } from './steps.js'

const FEATURES = new URL('../../../tests/scenarios/features/', import.meta.url)
const SEED = 1

/** Does what a sentence of the scenario language says. Rejects when it does not hold or is not known. */
export async function runSentence (world: World, text: string): Promise<void> {
  for (const [pattern, handler] of STEPS) {
    const match = pattern.exec(text)
    if (match) return await handler(world, ...match.slice(1))
  }
  throw new Error(`the scenario language has no sentence like: ${text}`)
}

/** Runs every scenario of `file`. A step that fails is named with its line. */
export function runFeature (file: string): void {
  const parser = new Parser(new AstBuilder(IdGenerator.incrementing()), new GherkinClassicTokenMatcher())
  const { feature } = parser.parse(readFileSync(new URL(file, FEATURES), 'utf8'))
  const background = feature?.children.flatMap(child => child.background?.steps ?? []) ?? []
  for (const scenario of feature?.children.flatMap(child => child.scenario ?? []) ?? []) {
    t.test(`${feature!.name}: ${scenario.name}`, async t => {
      const world = { seed: SEED, submissions: [], shutdowns: [] } as unknown as World
      for (const step of [...background, ...scenario.steps]) {
        try {
          await runSentence(world, step.text)
        } catch (err) {
          t.fail(`${file}:${step.location.line} ${step.text}: ${(err as Error).message}`, { seed: SEED })
          return
        }
      }
      t.pass('every step held')
    })
  }
}
