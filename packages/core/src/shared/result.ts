// ts-results is CommonJS, so its named exports fail in an ES module at start;
// this is the only file that imports it.
import tsResults from 'ts-results';

export const {Ok, Err} = tsResults;
export type {Result} from 'ts-results';
