/**
 * Command `jobs` with `list`, `show`, `explain`, `submit` and `cancel`.
 *
 * @module
 */

import { Command } from 'commander'
import type { JobExplanationView } from 'pomelofold/client/apiClient'
import { jobSpecSchema, type JobView } from 'pomelofold/protocol/jobs'
import { readJsonFile } from 'pomelofold/utils/jsonFile'
import { clientOf, printError, printResult, formatTable, withServerOptions, type GlobalOptions } from '../commandSupport.js'

/** Creates the command `jobs`. */
export function jobsCommand (): Command {
  const command = new Command('jobs').description('submit, show and cancel jobs')
  withServerOptions(command.command('list')).description('list the jobs of all failure domains')
    .action(async (options: GlobalOptions) => {
      printResult(await clientOf(options).jobs(), options, ({ jobs, unreachable }) =>
        [jobTable(jobs), ...unreachable.map(domain => `cannot be reached: ${domain}`)].join('\n'))
    })
  withServerOptions(command.command('show')).description('show one job').argument('<id>', 'job id')
    .action(async (id: string, options: GlobalOptions) => printResult(await clientOf(options).job(id), options, formatJob))
  withServerOptions(command.command('explain')).description('show the history of a job and why it waits').argument('<id>', 'job id')
    .action(async (id: string, options: GlobalOptions) => {
      printResult(await clientOf(options).explainJob(id), options, formatExplanation)
    })
  withServerOptions(command.command('submit')).description('submit a job file').argument('<file>', 'job, JSON')
    .option('--key <key>', 'idempotency key; the same key with the same job creates no second job')
    .action(async (file: string, options: GlobalOptions & { key?: string }) => {
      const read = readJsonFile(file, jobSpecSchema)
      if (read.isErr) return printError(read.error, options)
      printResult(await clientOf(options).submitJob(read.value, options.key), options, formatJob)
    })
  withServerOptions(command.command('cancel')).description('cancel a job').argument('<id>', 'job id')
    .action(async (id: string, options: GlobalOptions) => printResult(await clientOf(options).cancelJob(id), options, formatJob))
  return command
}

function jobTable (jobs: JobView[]): string {
  return formatTable(['JOB', 'NAME', 'KIND', 'CLASS', 'TEAM', 'STATE', 'FINISHED', 'WAITING FOR'], jobs.map(({ jobId, spec, state, tasks, waitingFor }) =>
    [jobId, spec.name, spec.kind, spec.class, spec.team, state, `${tasks.finished}/${tasks.total}`, waitingFor ?? '']))
}

function formatJob (job: JobView): string {
  return jobTable([job])
}

function formatExplanation ({ jobId, state, waitingFor, events, runs }: JobExplanationView): string {
  return [
    `job ${jobId}: ${state}${waitingFor ? `, ${waitingFor}` : ''}`,
    ...events.map(({ atMs, text }) => `  ${new Date(atMs).toISOString()} ${text}`),
    ...(runs.length ? [formatTable(['TASK', 'WORKER', 'STATE'], runs.map(run => [run.index, run.worker, run.state]))] : [])
  ].join('\n')
}
