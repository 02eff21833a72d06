#!/usr/bin/env node
import '../dist/engine/main.js';
