import type {AdminNode} from '@wisterialadder/core/administration/admin_node.js';
import type {Logger} from '@wisterialadder/runtime/logging/logger.js';
import type {OperatorDirectory} from '../auth/operator_directory.js';
import type {RouterStatus} from '../status/router_status.js';
import type {EditGateway} from './edit_gateway.js';

/** What the routes of the API share. */
export interface ApiContext {
  node: Pick<AdminNode, 'editStatus' | 'position' | 'table'>;
  edits: EditGateway;
  operators: OperatorDirectory;
  logger: Logger;
  maxBodyBytes: number;
  probeRouters(): Promise<RouterStatus[]>;
}
