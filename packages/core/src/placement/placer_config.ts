import type {LeaseConfig} from '../lease/lease_config.js';
import type {PlacementConfig} from './placement_config.js';

/** Settings of a placer's decisions. */
export interface PlacerConfig {
  lease: LeaseConfig;
  placement: PlacementConfig;
}
