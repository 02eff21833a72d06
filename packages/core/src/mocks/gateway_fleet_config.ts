import type {Configuration} from '../configuration/configuration.js';
import type {GatewayNode} from '../gateway/gateway_node.js';
import type {RandomSource} from '../types/random_source.js';
import type {FleetEndpoints} from './fleet_endpoints.js';
import type {VirtualTimeline} from './virtual_timeline.js';

/** What an engine sends before it ends: nothing, the head, or two pieces. */
export type EndsAfter = 'nothing' | 'head' | 'pieces';

/** Size and faults of a fleet. */
export interface GatewayFleetConfig {
  gateways: number;
  engines: number;
  seed: number;
  /** Fraction of the messages between gateways that are lost. */
  loss?: number;
  /** Fraction of them that arrive twice, the second time late. */
  repeats?: number;
  /** Whether the engines are in the gateways' failure domains, in turn. */
  spreadEngines?: boolean;
  /** Warm-up of an engine that starts during the test; 0 by default. */
  coldMs?: number;
  /** Requests a second that a cold engine takes; 0 (default): any. */
  coldPerSecond?: number;
  keepEngineIds?: boolean;
  /** Published by the store instead of the usual configuration. */
  configuration?: Configuration;
  /** Creates endpoints that take the place of the fleet's engines. */
  createEndpoints?(
    timeline: VirtualTimeline,
    random: RandomSource,
    registryChanged: () => void,
  ): FleetEndpoints;
  /** Replaces the decision logic of each gateway. */
  wrapNode?(node: GatewayNode): GatewayNode;
  /** What an engine has sent of an answer under which it ends; head if unset. */
  endsAfter?: EndsAfter;
}
