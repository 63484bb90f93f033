/**
 * `status` and `drain`.
 *
 * @module
 */

import { Command } from 'commander'
import { clientOf, finish, withServer, type GlobalOptions } from '../context.js'

/** Shows the state of the cell as one entry daemon sees it. */
export function statusCommand (): Command {
  return withServer(new Command('status'))
    .description('show entry VMs, the revision that each has in force, and claims')
    .action(async (options: GlobalOptions) => finish(await clientOf(options).status(), options, value => JSON.stringify(value, null, 2)))
}

/** Makes an entry daemon leave. */
export function drainCommand (): Command {
  return withServer(new Command('drain'))
    .description('make an entry daemon hand over its claims and take no more work')
    .action(async (options: GlobalOptions) => finish(await clientOf(options).drain(), options, () => 'draining'))
}
