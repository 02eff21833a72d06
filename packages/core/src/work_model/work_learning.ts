import type {FleetMembers} from '../fleet/fleet_members.js';
import type {GatewayFeature} from '../gateway/gateway_feature.js';
import {createEstimateGossip} from './estimate_gossip.js';
import {createWorkModel, type WorkModel} from './work_model.js';
import {createWorkTables} from './work_tables.js';

/** The work model of a gateway and its exchange with peers. */
export interface WorkLearning extends GatewayFeature {
  readonly model: WorkModel;
}

/** Creates a model without history. */
export function createWorkLearning(
  members: Pick<FleetMembers, 'aliveAddresses'>,
): WorkLearning {
  const tables = createWorkTables();
  const gossip = createEstimateGossip({tables, members});
  return {...gossip, model: createWorkModel(tables)};
}
