#!/usr/bin/env node
/**
 * Command line for callers and operators.
 *
 * @module
 */

import { Command } from 'commander'
import { jobsCommand } from './commands/jobs.js'
import { diffCommand, submitCommand, validateCommand } from './commands/manifest.js'
import { requestsCommand } from './commands/requests.js'
import { settingsCommand } from './commands/settings.js'
import { drainCommand, statusCommand } from './commands/status.js'
import { EXIT_CODES } from './context.js'

const program = new Command('pomelofold')
  .description('Commands for callers and operators of a pomelofold cell.')
  .version('0.1.0')
  .showHelpAfterError('(see --help)')
  .addHelpText('after', '\nExit codes: 0 done, 1 the answer is no, 2 invalid input, 3 conflict, 4 unavailable.')
  .exitOverride(err => { process.exit(err.exitCode === 0 ? EXIT_CODES.ok : EXIT_CODES.invalid) })

const commands = [
  validateCommand(), diffCommand(), submitCommand(),
  statusCommand(), drainCommand(),
  jobsCommand(), requestsCommand(),
  settingsCommand()
]
for (const command of commands) {
  program.addCommand(command.copyInheritedSettings(program))
}

await program.parseAsync()
