/**
 * Formats the burn report as a self-contained HTML page.
 *
 * @module
 */

import { badCount, type BurnReport, type BurnRow } from './burnReport.js'
import { BURN_CAUSES, BURN_WINDOWS, type BurnCause, type BurnWindow } from './burnTypes.js'

/** Sizes of a plot and of its parts, in pixels. */
const PLOT_WIDTH = 340
const BAR_HEIGHT = 16
const LINE_HEIGHT = 24
const LABEL_WIDTH = 70
const VALUE_WIDTH = 60
const BAR_WIDTH = PLOT_WIDTH - LABEL_WIDTH - VALUE_WIDTH

const MS_PER_HOUR = 3_600_000

const WINDOW_LABELS: Record<BurnWindow, string> = { fiveMinutes: '5 min', oneHour: '1 h', sixHours: '6 h', threeDays: '3 d', objective: 'window' }
const BAD_CAUSES: BurnCause[] = [BURN_CAUSES.refused, BURN_CAUSES.late, BURN_CAUSES.failed, BURN_CAUSES.unknown]

const STYLE = `
:root { color-scheme: light dark; --text: #1c1e21; --back: #fff; --faint: #6a7078; --track: #e4e6ea; --good: #2e7d4f; --bad: #c0392b; --refused: #b5671c; --late: #7d5ab5; --failed: #c0392b; --unknown: #6a7078 }
@media (prefers-color-scheme: dark) { :root { --text: #e6e8eb; --back: #17191c; --faint: #9aa1aa; --track: #34383e; --good: #57b883; --bad: #e8705f; --refused: #e0a05a; --late: #b39ae0; --failed: #e8705f; --unknown: #9aa1aa } }
body { font: 15px/1.5 system-ui, sans-serif; color: var(--text); background: var(--back); max-width: 1160px; margin: 2rem auto; padding: 0 1rem }
section { border-top: 1px solid var(--track); padding: .5rem 0 1rem }
h2 { font-size: 1.1rem; margin: .5rem 0 0 } h3 { font-size: .9rem; margin: .5rem 0 .25rem }
.faint { color: var(--faint) } .page, .ticket { color: var(--bad); font-weight: 600 }
.plots { display: flex; flex-wrap: wrap; gap: 1rem } svg text { font: 13px system-ui, sans-serif; fill: var(--text) }`

/** Returns the report as one HTML page without references to other files. */
export function burnPage ({ objectives, countedMs, unreachable }: BurnReport): string {
  const unreachableNote = unreachable.length === 0 ? '' : `<p class="page">Cannot be reached, not counted: ${escapeHtml(unreachable.join(', '))}</p>`
  return `<!doctype html>
<html lang="en"><head><meta charset="utf-8"><meta name="viewport" content="width=device-width"><title>Service-level burn</title><style>${STYLE}</style></head>
<body><h1>Service-level burn</h1>
<p class="faint">A burn rate of 1 spends the error budget exactly by the end of the objective's window. The daemon started last has counted for ${(countedMs / MS_PER_HOUR).toFixed(1)} h; longer windows miss its earlier requests.</p>
${unreachableNote}${objectives.map(section).join('\n')}
</body></html>
`
}

function section (row: BurnRow): string {
  const { service, class: cls, team, waitMs, target, windowDays, alert } = row
  const title = [service, cls, team && `team ${team}`].filter(Boolean).join(' / ')
  const state = alert === 'none' ? '' : ` <span class="${alert}">${alert}</span>`
  return `<section><h2>${escapeHtml(title)}${state}</h2>
<div class="faint">${Number((target * 100).toFixed(4))}% sent within ${waitMs} ms, over ${windowDays} days</div>
<div class="plots"><div><h3>Budget left</h3>${budgetPlot(row)}</div><div><h3>Burn rate</h3>${ratePlot(row)}</div><div><h3>Causes</h3>${causePlot(row)}</div></div></section>`
}

function budgetPlot ({ budgetLeft, requestsLeft }: BurnRow): string {
  if (budgetLeft === undefined) return '<p class="faint">no requests</p>'
  const label = `${(budgetLeft * 100).toFixed(Math.abs(budgetLeft) < 1 ? 1 : 0)}%`
  const budgetText = requestsLeft >= 0 ? `${requestsLeft.toFixed(1)} bad requests left` : `overspent by ${(-requestsLeft).toFixed(1)} requests`
  return plot('budget left', 2, bar(0, '', budgetLeft > 0 ? budgetLeft : 1, label, budgetLeft > 0 ? 'good' : 'bad') + text(0, 1, budgetText))
}

function ratePlot ({ burnRates }: BurnRow): string {
  const windows = Object.values(BURN_WINDOWS)
  const highestRate = Math.max(1, ...windows.map(window => burnRates[window] ?? 0))
  const bars = windows.map((window, line) => {
    const rate = burnRates[window]
    return bar(line, WINDOW_LABELS[window], (rate ?? 0) / highestRate, rate?.toFixed(2) ?? '-', (rate ?? 0) > 1 ? 'bad' : 'good')
  })
  return plot('burn rates', windows.length, bars.join(''))
}

function causePlot ({ windows }: BurnRow): string {
  const counts = windows.objective
  const bad = badCount(counts)
  if (bad === 0) return '<p class="faint">no bad requests</p>'
  let x = 0
  const segments = BAD_CAUSES.map(cause => {
    const width = PLOT_WIDTH * counts[cause] / bad
    const segment = rect(x, 0, width, cause)
    x += width
    return segment
  })
  const legend = BAD_CAUSES.map((cause, i) => rect(0, i + 1, BAR_HEIGHT, cause) + text(LINE_HEIGHT, i + 1, `${cause}: ${counts[cause]}`))
  return plot('causes of bad requests', BAD_CAUSES.length + 1, [...segments, ...legend].join(''))
}

function bar (line: number, label: string, share: number, value: string, color: string): string {
  const width = BAR_WIDTH * Math.min(Math.max(share, 0), 1)
  return text(0, line, label) + rect(LABEL_WIDTH, line, BAR_WIDTH, 'track') + rect(LABEL_WIDTH, line, width, color) +
    text(LABEL_WIDTH + BAR_WIDTH + 6, line, value)
}

function plot (label: string, lines: number, content: string): string {
  return `<svg width="${PLOT_WIDTH}" height="${lines * LINE_HEIGHT}" role="img" aria-label="${label}">${content}</svg>`
}

function rect (x: number, line: number, width: number, color: string): string {
  return `<rect x="${x}" y="${line * LINE_HEIGHT}" width="${width}" height="${BAR_HEIGHT}" fill="var(--${color})"/>`
}

function text (x: number, line: number, content: string): string {
  return `<text x="${x}" y="${line * LINE_HEIGHT + 13}">${escapeHtml(content)}</text>`
}

const ENTITIES: Record<string, string> = { '&': '&amp;', '<': '&lt;', '>': '&gt;', '"': '&quot;', "'": '&#39;' }

function escapeHtml (content: string): string {
  return content.replace(/[&<>"']/g, char => ENTITIES[char])
}
