import type {GatewayConfig} from '@wisterialadder/core/gateway/gateway_config.js';
import {splitAddress} from '@wisterialadder/runtime/http/http_server.js';
import type {SettingsOf} from '@wisterialadder/runtime/settings/settings_definition.js';
import type {GATEWAY_SETTINGS} from './settings.js';

const MS_PER_SECOND = 1_000;
/** Time before the end of the grace period at which requests are aborted. */
const ABORT_MARGIN_MS = 700;
/** Longest notice, as a share of the grace: what is taken last needs the rest. */
const MAX_NOTICE_SHARE = 3 / 8;
/** A shorter window would hold no repeat and so allow any number. */
const MIN_RETRY_WINDOW_MS = 100;

/** Converts the program's settings to the configuration of the core. */
export function gatewayConfigOf(
  cfg: SettingsOf<typeof GATEWAY_SETTINGS>,
  address: string,
  incarnation: number,
): GatewayConfig {
  const {port} = splitAddress(address);
  const graceMs = cfg.shutdown.grace * MS_PER_SECOND;
  return {
    address,
    failureDomain: cfg.vm.failure_domain,
    incarnation,
    seeds: cfg.peers.seeds
      .map(seed => `${splitAddress(seed).host}:${port}`)
      .filter(seed => seed !== address),
    drainNoticeMs: Math.min(cfg.shutdown.notice, graceMs * MAX_NOTICE_SHARE),
    drainLimitMs: Math.max(graceMs / 2, graceMs - ABORT_MARGIN_MS),
    retryRatio: cfg.retries.ratio,
    retryExtra: cfg.retries.extra,
    retryWindowMs: Math.max(
      MIN_RETRY_WINDOW_MS,
      cfg.retries.window * MS_PER_SECOND,
    ),
  };
}
