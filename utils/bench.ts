/**
 * Runs a benchmark by name: `npm run bench -- requests`.
 *
 * @module
 */

/** A module with a benchmark. */
interface Bench {
  run (): Promise<void>
}

const BENCHES: Record<string, () => Promise<Bench>> = {
  requests: () => import('./benchRequests.js')
}

const [name = ''] = process.argv.slice(2)
const load = BENCHES[name]
if (!load) {
  console.error(`usage: npm run bench -- NAME, with NAME one of ${Object.keys(BENCHES).join(', ')}`)
  process.exit(2)
}
await (await load()).run()
