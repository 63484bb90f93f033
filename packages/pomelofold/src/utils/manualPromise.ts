/**
 * A promise settled from outside.
 *
 * @module
 */

/** A promise with its `resolve` and `reject`. Later calls have no effect. */
export class ManualPromise<T = void> {
  readonly promise: Promise<T>
  resolve!: (value: T) => void
  reject!: (err: Error) => void
  private _settled = false

  constructor () {
    this.promise = new Promise<T>((resolve, reject) => {
      this.resolve = value => { this._settled = true; resolve(value) }
      this.reject = err => { this._settled = true; reject(err) }
    })
  }

  /** True once resolved or rejected. */
  isSettled (): boolean {
    return this._settled
  }
}
