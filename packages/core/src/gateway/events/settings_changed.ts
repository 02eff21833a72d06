import type {GatewayConfig} from '../gateway_config.js';

/** The settings file has changed. */
export interface SettingsChanged {
  kind: 'settings_changed';
  /** What cannot change while the process runs is ignored. */
  cfg: GatewayConfig;
}
