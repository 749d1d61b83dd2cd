#!/bin/sh
cd "$(dirname "$0")" && exec python3 case-2.py
