/**
 * Runs the tests and compares failures with KNOWN-RED.txt. Failures that are listed there are printed but do not count
 * as failed. The last line is `N passed, N failed`.
 *
 * Usage: `node dist/utils/runTests.js [test files]`
 *
 * @module
 */

import { spawn } from 'node:child_process'
import { readFileSync } from 'node:fs'
import { Parser, type Result } from 'tap-parser'

const TEST_FILES = 'dist/tests/**/*.test.js'
const KNOWN_RED_FILE = 'KNOWN-RED.txt'

/** Result of one test of a file. */
interface TestResult {
  name: string
  ok: boolean
  skipped: boolean
  /** Failed assertions with their diagnostics. */
  faults: string[]
}

/** Returns the names of the tests that are known to fail, from the lines that start with `test:`. */
function knownRedTests (): Set<string> {
  const lines = readFileSync(KNOWN_RED_FILE, 'utf8').split('\n')
  return new Set(lines.filter(line => line.startsWith('test:')).map(line => line.slice('test:'.length).trim()))
}

/** Collects the test results from TAP output, in which files are the first level and tests the second. */
function collectTests (parser: Parser, results: TestResult[]): void {
  parser.on('child', (file: Parser) => {
    const faults = new Map<string, string[]>()
    file.on('child', (test: Parser) => {
      const own: string[] = []
      faults.set(test.name.replace(/^Subtest: /, ''), own)
      test.on('assert', (assert: Result) => {
        if (!assert.ok) own.push(`${assert.name}\n${JSON.stringify(assert.diag, null, 2)}`)
      })
    })
    file.on('assert', (assert: Result) => {
      const own = faults.get(assert.name) ?? (assert.ok ? [] : [JSON.stringify(assert.diag, null, 2)])
      results.push({ name: `${file.name} > ${assert.name}`, ok: assert.ok, skipped: Boolean(assert.skip || assert.todo), faults: own })
    })
  })
}

async function main (): Promise<number> {
  const files = process.argv.slice(2)
  const tap = spawn(process.execPath, ['node_modules/tap/dist/esm/run.mjs', '--reporter=tap', ...(files.length ? files : [TEST_FILES])], { stdio: ['ignore', 'pipe', 'inherit'] })
  const results: TestResult[] = []
  const brokenFiles: string[] = []
  const parser = new Parser()
  collectTests(parser, results)
  parser.on('assert', (file: Result) => {
    const failedWithoutTest = !file.ok && !results.some(result => !result.ok && result.name.startsWith(file.name))
    if (failedWithoutTest) brokenFiles.push(`${file.name}: ${JSON.stringify(file.diag ?? {})}`)
  })
  tap.stdout.pipe(parser)
  const exit = await new Promise<number>(resolve => tap.on('close', code => resolve(code ?? 1)))

  const known = knownRedTests()
  const failed = results.filter(result => !result.ok)
  const unexpected = failed.filter(result => !known.has(result.name))
  const skipped = results.filter(result => result.skipped)
  for (const result of failed) {
    console.log(`${known.has(result.name) ? 'known to fail' : 'FAILED'}: ${result.name}`)
    for (const fault of result.faults) console.log(fault.replace(/^/gm, '    '))
  }
  for (const result of results.filter(result => result.ok && known.has(result.name))) {
    console.log(`passes but is listed in ${KNOWN_RED_FILE}: ${result.name}`)
  }
  if (skipped.length) console.log(`FAILED: tests are skipped or marked todo: ${skipped.map(result => result.name).join(', ')}`)
  if (exit !== 0 && failed.length === 0 && brokenFiles.length === 0) brokenFiles.push(`the test runner exited with code ${exit}`)
  for (const broken of brokenFiles) console.log(`FAILED: ${broken}`)
  const failures = unexpected.length + skipped.length + brokenFiles.length
  if (known.size) console.log(`known to fail: ${failed.length - unexpected.length} of ${known.size} in ${KNOWN_RED_FILE}`)
  console.log(`${results.filter(result => result.ok).length} passed, ${failures} failed`)
  return failures ? 1 : 0
}

process.exit(await main())
