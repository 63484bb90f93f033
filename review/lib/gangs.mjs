/**
 * What the members of a gang know of each other: they work only together, and end together.
 *
 * @module
 */

/** Time for which a member waits for the others, in milliseconds. */
const GANG_MS = 3_000

/** The runs of gangs on all minions. */
export class Gangs {
  #runs = new Map()
  #sizeOf
  #workMs

  /** `sizeOf` gives the number of members by the task's step, and undefined for tasks that are in no gang. */
  constructor ({ sizeOf, workMs }) {
    this.#sizeOf = sizeOf
    this.#workMs = workMs
  }

  /** True for a member of a gang. */
  has (task) {
    return this.#sizeOf(task) !== undefined
  }

  /** Notes the start of a member; `end` ends its run. */
  noteStart (task, attempt, end) {
    const key = keyOf(task, attempt)
    const run = this.#runs.get(key) ?? { members: new Map(), over: false, timer: undefined }
    this.#runs.set(key, run)
    run.members.set(task, end)
    clearTimeout(run.timer)
    const complete = run.members.size === this.#sizeOf(task)
    run.timer = setTimeout(() => this.#endAll(run, complete ? 'done' : 'alone'), complete ? this.#workMs : GANG_MS)
  }

  /** Notes the end of a member, for whatever reason: the others end, too. */
  noteEnd (task, attempt) {
    const run = this.#runs.get(keyOf(task, attempt))
    if (!run || run.over || !run.members.delete(task)) return
    this.#endAll(run, 'broken')
  }

  #endAll (run, how) {
    clearTimeout(run.timer)
    run.over = true
    for (const end of run.members.values()) end(how)
  }
}

/** All members of one run share the step's name and the attempt. */
function keyOf (task, attempt) {
  return `${task.split('.').slice(0, 3).join('.')}#${attempt}`
}
