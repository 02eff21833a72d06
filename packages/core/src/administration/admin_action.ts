import type {Append} from '../router/actions/append.js';
import type {Observe} from '../router/actions/observe.js';
import type {SetReady} from '../router/actions/set_ready.js';
import type {WriteLog} from '../router/actions/write_log.js';
import type {AnswerEdit} from './answer_edit.js';

/** Every action of the administration. */
export type AdminAction = AnswerEdit | Append | Observe | SetReady | WriteLog;
