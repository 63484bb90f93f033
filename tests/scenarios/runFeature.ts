/**
 * Runs each scenario of a feature file as a test.
 *
 * @module
 */

import { readFileSync } from 'node:fs'
import { AstBuilder, GherkinClassicTokenMatcher, Parser } from '@cucumber/gherkin'
import { IdGenerator } from '@cucumber/messages'
import t from 'tap'
import { runSentence, type World } from './steps.js'

const FEATURES = new URL('../../../tests/scenarios/features/', import.meta.url)
const SEED = 1

/** Registers a test for every scenario of `file`. A failed step is reported with its line. */
export function runFeature (file: string): void {
  const parser = new Parser(new AstBuilder(IdGenerator.incrementing()), new GherkinClassicTokenMatcher())
  const { feature } = parser.parse(readFileSync(new URL(file, FEATURES), 'utf8'))
  const background = feature?.children.flatMap(child => child.background?.steps ?? []) ?? []
  for (const scenario of feature?.children.flatMap(child => child.scenario ?? []) ?? []) {
    t.test(`${feature!.name}: ${scenario.name}`, async t => {
      const world = { seed: SEED, submissionResults: [], shutdowns: [] } as unknown as World
      for (const step of [...background, ...scenario.steps]) {
        try {
          await runSentence(world, step.text)
        } catch (err) {
          t.fail(`${file}:${step.location.line} ${step.text}: ${(err as Error).message}`, { seed: SEED })
          return
        }
      }
      t.pass('every step passed')
    })
  }
}
