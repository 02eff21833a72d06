#!/usr/bin/env node
import '../dist/platform/main.js';
