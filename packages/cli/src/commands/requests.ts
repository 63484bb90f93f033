/**
 * Command `requests` with `send` and `explain`.
 *
 * @module
 */

import { Command, Option } from 'commander'
import { OUTCOMES, REQUEST_CLASSES, type RequestClass, type RequestRecord } from 'pomelofold/protocol/requests'
import { clientOf, EXIT_CODES, exitCodeOfStatus, printError, printResult, parseWholeNumber, printValue, withServerOptions, type GlobalOptions } from '../commandSupport.js'

interface SendOptions extends GlobalOptions {
  data: string
  class: RequestClass
  deadlineMs?: number
  key?: string
  atMostOnce?: boolean
  team?: string
}

/** Creates the command `requests`. */
export function requestsCommand (): Command {
  const command = new Command('requests').description('send requests to services and show their outcomes')
  withServerOptions(command.command('send')).description('send one request and print the whole answer').argument('<service>', 'name of the service')
    .option('--data <text>', 'body', '')
    .addOption(new Option('--class <class>', 'class of the request').choices(Object.values(REQUEST_CLASSES)).default(REQUEST_CLASSES.normal))
    .option('--deadline-ms <n>', 'longest wait for the answer, in milliseconds', parseWholeNumber)
    .option('--key <key>', 'idempotency key')
    .option('--at-most-once', 'never send the request to a second upstream')
    .option('--team <team>', 'team of the manifest')
    .action(async (service: string, options: SendOptions) => {
      const { data, key, ...rest } = options
      const sent = await clientOf(options).sendRequest(service, data, { ...rest, idempotencyKey: key })
      if (sent.isErr) return printError(sent.error, options)
      const { status, requestId, outcome, body } = sent.value
      printValue({ requestId, outcome, status, body: body.toString('utf8') }, options, answer =>
        `request ${answer.requestId}: ${answer.outcome}, status ${answer.status}\n${answer.body}`)
      if (status >= 400) process.exitCode = outcome === OUTCOMES.ran ? EXIT_CODES.failed : exitCodeOfStatus(status)
    })
  withServerOptions(command.command('explain')).description('show the outcome and the history of a request').argument('<id>', 'request id')
    .action(async (id: string, options: GlobalOptions) => printResult(await clientOf(options).explainRequest(id), options, formatRecord))
  return command
}

function formatRecord ({ requestId, outcome, history }: RequestRecord): string {
  const steps = history.map(({ atMs, vm, step, peer, epoch, detail }) =>
    [new Date(atMs).toISOString(), vm, step, peer && `peer=${peer}`, epoch !== undefined && `epoch=${epoch}`, detail].filter(Boolean).join(' '))
  return [`request ${requestId}: ${outcome}`, ...steps.map(step => `  ${step}`)].join('\n')
}
