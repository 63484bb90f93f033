#!/usr/bin/env node
/**
 * Entry point of the command line for callers and operators.
 *
 * @module
 */

import { Command } from 'commander'
import { jobsCommand } from './commands/jobs.js'
import { logsCommand } from './commands/logs.js'
import { diffCommand, submitCommand, validateCommand } from './commands/manifest.js'
import { reportCommand } from './commands/report.js'
import { requestsCommand } from './commands/requests.js'
import { settingsCommand } from './commands/settings.js'
import { drainCommand, statusCommand } from './commands/status.js'
import { EXIT_CODES } from './commandSupport.js'

const EXIT_CODES_HELP = '\nExit codes: 0 done, 1 the answer is no, 2 invalid input, 3 conflict, 4 unavailable.'

const program = new Command('pomelofold')
  .description('Commands for callers and operators of a pomelofold cell.')
  .version('0.1.0')

const commands = [
  validateCommand(), diffCommand(), submitCommand(),
  statusCommand(), drainCommand(),
  jobsCommand(), requestsCommand(), reportCommand(), logsCommand(),
  settingsCommand()
]
for (const command of commands) program.addCommand(command)
applyCommonSettings(program)

await program.parseAsync()

/** Sets the help and the exit codes of a command and all its subcommands. */
function applyCommonSettings (command: Command): void {
  command
    .showHelpAfterError('(see --help)')
    .addHelpText('after', EXIT_CODES_HELP)
    .exitOverride(err => { process.exit(err.exitCode === 0 ? EXIT_CODES.ok : EXIT_CODES.invalid) })
  command.commands.forEach(applyCommonSettings)
}
