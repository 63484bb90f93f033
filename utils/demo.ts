/**
 * Runs the main job.
 *
 * @module
 */

console.log('demo: nothing to run yet')
