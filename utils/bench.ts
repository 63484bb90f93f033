/**
 * Runs a benchmark by name.
 *
 * Usage: `npm run bench -- NAME [options of the benchmark]`
 *
 * @module
 */

/** Benchmarks by name. Each module exports `run`, which receives the arguments after the name. */
const BENCHES: Record<string, () => Promise<{ run: (args: string[]) => Promise<void> }>> = {
  control: () => import('./bench/benchControl.js'),
  dispatch: () => import('./bench/benchDispatch.js'),
  placement: () => import('./bench/benchPlacement.js'),
  requests: () => import('./bench/benchRequests.js')
}

const [name, ...args] = process.argv.slice(2)
const load = BENCHES[name]
if (!load) {
  console.error(`usage: npm run bench -- NAME; NAME is one of: ${Object.keys(BENCHES).join(', ')}`)
  process.exit(2)
}
const { run } = await load()
await run(args)
