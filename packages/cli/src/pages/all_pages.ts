import {PROGRAMS} from '../programs.js';
import type {GeneratedPage} from './generated_page.js';
import {logEventsPage} from './log_events_page.js';
import {metricsPage} from './metrics_page.js';
import {settingsPage} from './settings_page.js';

/** Every generated page of the documentation. */
export function allPages(): GeneratedPage[] {
  return [settingsPage(PROGRAMS), logEventsPage(), metricsPage()];
}
