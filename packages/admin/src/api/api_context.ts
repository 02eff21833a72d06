import type {AdminNode} from '@wisterialadder/core/administration/admin_node.js';
import type {RequestIntake} from '@wisterialadder/runtime/http/request_intake.js';
import type {Logger} from '@wisterialadder/runtime/logging/logger.js';
import type {OperatorDirectory} from '../auth/operator_directory.js';
import type {RouterStatus} from '../status/router_status.js';
import type {EditSubmitter} from './edit_submitter.js';

/** Dependencies shared by the routes of the API. */
export interface ApiContext {
  node: Pick<AdminNode, 'editStatus' | 'position' | 'table'>;
  edits: EditSubmitter;
  operators: OperatorDirectory;
  logger: Logger;
  maxBodyBytes: number;
  intake: RequestIntake;
  probeRouters(): Promise<RouterStatus[]>;
}
