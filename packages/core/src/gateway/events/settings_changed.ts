import type {GatewayConfig} from '../gateway_config.js';

/** The settings file has changed. */
export interface SettingsChanged {
  kind: 'settings_changed';
  /** Settings that cannot change while the process runs are ignored. */
  cfg: GatewayConfig;
}
