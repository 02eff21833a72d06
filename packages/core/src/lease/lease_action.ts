import type {Append} from '../router/actions/append.js';
import type {Observe} from '../router/actions/observe.js';
import type {Tail} from '../router/actions/tail.js';
import type {WriteLog} from '../router/actions/write_log.js';

/** Actions that the lease emits. */
export type LeaseAction = Append | Observe | Tail | WriteLog;
