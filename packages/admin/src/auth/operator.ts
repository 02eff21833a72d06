import type {OperatorRole} from './operator_role.js';

/** A person or program that holds a key of the administration API. */
export interface Operator {
  /** Author of the operator's edits. */
  name: string;
  role: OperatorRole;
}
