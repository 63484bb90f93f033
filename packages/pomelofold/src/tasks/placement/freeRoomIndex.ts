/**
 * Index of workers by free room.
 *
 * Workers are kept in the cells of a three-dimensional grid: a plane for each number of free accelerators, in each plane
 * a row for each range of free processors and a column for each range of free memory. A search skips cells in which the
 * task cannot fit and cells that cannot contain a better worker than the best one found so far.
 *
 * @module
 */

import { zeroUnits, type Units } from './units.js'
import type { WorkerNode } from './workerNode.js'

/** Number of ranges of free processors and of free memory. 32, so that the non-empty columns of a row are one 32-bit mask. */
const RANGE_COUNT = 32

/** Ratio of the upper to the lower bound of a range. */
const RANGE_RATIO = 1.18

/** Planes for workers with tasks: plane n for n free accelerators, the last one also for more. As many planes follow for empty workers. */
const IN_USE_PLANE_COUNT = 16
const PLANE_COUNT = 2 * IN_USE_PLANE_COUNT

/** Maximum number of workers that a search scores in one cell: of workers with tasks, and of empty workers. */
const MAX_SCORED_IN_USE = 8
const MAX_SCORED_EMPTY = 256

/**
 * Weight of the room left free in the score of a worker. The score also contains, with weight 1, the penalty and the
 * imbalance, which is the difference between the shares of the worker's processors and memory left free.
 */
const LEFTOVER_WEIGHT = 0.03

/** What a search looks for, and how it ranks the workers that fit. */
export interface WorkerQuery {
  need: Units
  /** Whether the worker may be used at all. */
  accepts: (node: WorkerNode) => boolean
  /** Added to the score of a worker; the lowest score wins. Must not be negative. */
  penalty: (node: WorkerNode) => number
}

/** How an index measures the free room of a worker. */
export interface FreeRoomIndexOptions {
  /** Position of this index in `cellIndexes` and `cellPositions` of a worker. */
  indexNumber: 0 | 1
  cpusOf: (node: WorkerNode) => number
  memoryOf: (node: WorkerNode) => number
  /** Plane of a worker, counted separately for workers with tasks and for empty workers. */
  planeOf: (node: WorkerNode) => number
}

interface Cell {
  nodes: WorkerNode[]
  /** Upper bounds of the free room of any worker in the cell. A search that scans the whole cell makes them exact. */
  maxCpus: number
  maxMemory: number
}

interface BestMatch {
  node: WorkerNode | undefined
  score: number
}

/** Finds a worker with enough free room that would have little left. */
export class FreeRoomIndex {
  private readonly _options: FreeRoomIndexOptions
  private readonly _cells: Array<Cell | undefined> = new Array(PLANE_COUNT * RANGE_COUNT * RANGE_COUNT)
  /** For each row of each plane, a bit mask of the columns whose cells are not empty. */
  private readonly _columnMasks = new Int32Array(PLANE_COUNT * RANGE_COUNT)
  /** Number of workers in each plane. */
  private readonly _planeSizes = new Int32Array(PLANE_COUNT)
  /** The largest number of processors and the largest memory of any worker so far. The ranges are relative to these. */
  readonly largest: Units = zeroUnits()
  /** Lower bounds of the ranges of free processors and of free memory. */
  private _minCpusOfRows: Float64Array = new Float64Array(RANGE_COUNT)
  private _minMemoryOfColumns: Float64Array = new Float64Array(RANGE_COUNT)

  constructor (options: FreeRoomIndexOptions) {
    this._options = options
  }

  /** Moves the worker to the cell of its current free room. Removes it if it takes no work. */
  update (node: WorkerNode): void {
    if (!node.takesWork) return this.remove(node)
    if (node.capacity.cpus > this.largest.cpus || node.capacity.memory > this.largest.memory) this._rescale(node.capacity)
    const { indexNumber, cpusOf, memoryOf, planeOf } = this._options
    const cpus = cpusOf(node)
    const memory = memoryOf(node)
    const plane = clampPlane(planeOf(node)) + (node.tasks.size ? 0 : IN_USE_PLANE_COUNT)
    const index = (plane * RANGE_COUNT + rangeOf(cpus, this.largest.cpus)) * RANGE_COUNT + rangeOf(memory, this.largest.memory)
    if (index !== node.cellIndexes[indexNumber]) {
      this.remove(node)
      this._insert(node, index)
    }
    const cell = this._cells[index]!
    if (cpus > cell.maxCpus) cell.maxCpus = cpus
    if (memory > cell.maxMemory) cell.maxMemory = memory
  }

  remove (node: WorkerNode): void {
    const { indexNumber } = this._options
    const index = node.cellIndexes[indexNumber]
    if (index < 0) return
    const { nodes } = this._cells[index]!
    const last = nodes.pop()!
    if (last !== node) {
      nodes[node.cellPositions[indexNumber]] = last
      last.cellPositions[indexNumber] = node.cellPositions[indexNumber]
    }
    if (!nodes.length) this._clearCell(index)
    this._planeSizes[Math.floor(index / (RANGE_COUNT * RANGE_COUNT))]--
    node.cellIndexes[indexNumber] = -1
  }

  /**
   * Finds a worker with a low score: after the task, little processors and memory are free and their shares are similar.
   * Considers workers with tasks first and empty workers only if none of those fits. Not always the worker with the
   * lowest score: the planes are searched in order and each cell only up to a limit.
   */
  findTightestFit (query: WorkerQuery): WorkerNode | undefined {
    const first = clampPlane(query.need.accelerators)
    return this._searchPlanes(first, IN_USE_PLANE_COUNT, query) ??
      this._searchPlanes(IN_USE_PLANE_COUNT + first, PLANE_COUNT, query)
  }

  private _allNodes (): WorkerNode[] {
    const all: WorkerNode[] = []
    for (let row = 0; row < PLANE_COUNT * RANGE_COUNT; row++) {
      for (let columns = this._columnMasks[row]; columns; columns &= columns - 1) {
        all.push(...this._cells[row * RANGE_COUNT + lowestBit(columns)]!.nodes)
      }
    }
    return all
  }

  /** The processors and memory beyond `need`, each as a share of {@link largest}, added. */
  leftoverShare (need: Units, cpus: number, memory: number): number {
    return (cpus - need.cpus) / this.largest.cpus + (memory - need.memory) / this.largest.memory
  }

  private _searchPlanes (first: number, end: number, query: WorkerQuery): WorkerNode | undefined {
    for (let plane = first; plane < end; plane++) {
      if (!this._planeSizes[plane]) continue
      const node = this._searchPlane(plane, query)
      if (node) return node
    }
    return undefined
  }

  private _searchPlane (plane: number, query: WorkerQuery): WorkerNode | undefined {
    const { need } = query
    const best: BestMatch = { node: undefined, score: Infinity }
    const fittingColumns = -1 << rangeOf(need.memory, this.largest.memory)
    for (let row = rangeOf(need.cpus, this.largest.cpus); row < RANGE_COUNT; row++) {
      const columns = this._columnMasks[plane * RANGE_COUNT + row] & fittingColumns
      if (!columns) continue
      const minCpus = Math.max(this._minCpusOfRows[row], need.cpus)
      if (LEFTOVER_WEIGHT * this.leftoverShare(need, minCpus, need.memory) >= best.score) break
      this._searchRow(plane * RANGE_COUNT + row, columns, minCpus, query, best)
    }
    return best.node
  }

  private _searchRow (row: number, columns: number, minCpus: number, query: WorkerQuery, best: BestMatch): void {
    for (; columns; columns &= columns - 1) {
      const column = lowestBit(columns)
      const minMemory = Math.max(this._minMemoryOfColumns[column], query.need.memory)
      if (LEFTOVER_WEIGHT * this.leftoverShare(query.need, minCpus, minMemory) >= best.score) return
      this._searchCell(this._cells[row * RANGE_COUNT + column]!, query, best)
    }
  }

  private _searchCell (cell: Cell, { need, accepts, penalty }: WorkerQuery, best: BestMatch): void {
    if (need.cpus > cell.maxCpus || need.memory > cell.maxMemory) return
    const { cpusOf, memoryOf } = this._options
    let scored = 0
    let maxCpus = 0
    let maxMemory = 0
    for (const node of cell.nodes) {
      const cpus = cpusOf(node)
      const memory = memoryOf(node)
      if (cpus > maxCpus) maxCpus = cpus
      if (memory > maxMemory) maxMemory = memory
      if (need.cpus > cpus || need.memory > memory || !node.fits(need) || !accepts(node)) continue
      const imbalance = (cpus - need.cpus) / node.capacity.cpus - (memory - need.memory) / node.capacity.memory
      const score = LEFTOVER_WEIGHT * this.leftoverShare(need, cpus, memory) + Math.abs(imbalance) + penalty(node)
      if (score < best.score) {
        best.score = score
        best.node = node
      }
      if (++scored === (node.tasks.size ? MAX_SCORED_IN_USE : MAX_SCORED_EMPTY)) return
    }
    cell.maxCpus = maxCpus
    cell.maxMemory = maxMemory
  }

  private _insert (node: WorkerNode, index: number): void {
    const cell = this._cells[index] ??= { nodes: [], maxCpus: 0, maxMemory: 0 }
    node.cellIndexes[this._options.indexNumber] = index
    node.cellPositions[this._options.indexNumber] = cell.nodes.push(node) - 1
    this._columnMasks[Math.floor(index / RANGE_COUNT)] |= 1 << (index % RANGE_COUNT)
    this._planeSizes[Math.floor(index / (RANGE_COUNT * RANGE_COUNT))]++
  }

  private _clearCell (index: number): void {
    const cell = this._cells[index]!
    cell.maxCpus = 0
    cell.maxMemory = 0
    this._columnMasks[Math.floor(index / RANGE_COUNT)] &= ~(1 << (index % RANGE_COUNT))
  }

  /** Adapts the ranges to a larger worker and moves all workers to their new cells. */
  private _rescale (capacity: Units): void {
    const nodes = this._allNodes()
    for (const node of nodes) this.remove(node)
    this.largest.cpus = Math.max(this.largest.cpus, capacity.cpus)
    this.largest.memory = Math.max(this.largest.memory, capacity.memory)
    this._minCpusOfRows = lowerBounds(this.largest.cpus)
    this._minMemoryOfColumns = lowerBounds(this.largest.memory)
    for (const node of nodes) this.update(node)
  }
}

function clampPlane (accelerators: number): number {
  return Math.max(0, Math.min(IN_USE_PLANE_COUNT - 1, accelerators))
}

/** Number of the range that contains a free amount. The last range starts at `largest`; range 0 contains all lower amounts. */
function rangeOf (free: number, largest: number): number {
  if (free <= 0 || largest <= 0) return 0
  const below = Math.log(largest / free) / Math.log(RANGE_RATIO)
  return Math.max(0, Math.min(RANGE_COUNT - 1, Math.floor(RANGE_COUNT - 1 - below)))
}

/** Lower bound of each range, slightly reduced so that rounding in {@link rangeOf} cannot place an amount below it. */
function lowerBounds (largest: number): Float64Array {
  const bounds = Float64Array.from({ length: RANGE_COUNT }, (_, i) => largest * RANGE_RATIO ** (i - RANGE_COUNT + 1) * (1 - 1e-9))
  bounds[0] = 0
  return bounds
}

function lowestBit (mask: number): number {
  return 31 - Math.clz32(mask & -mask)
}
